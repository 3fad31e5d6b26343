#include "yuccascale/wire/charges_codec.hpp"

#include "yuccascale/wire/charges_generated.h"

#include <cmath>

namespace yuccascale::wire {

std::string encodeCharges(std::span<const kernel::requests::pool_charge> charges)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<fb::Charge>> rows;
    for (const kernel::requests::pool_charge &charge : charges) {
        const auto pool = builder.CreateSharedString(charge.pool);
        const auto organisation = builder.CreateSharedString(charge.organisation);
        rows.push_back(fb::CreateCharge(builder, pool, organisation, charge.cost));
    }
    const auto all = builder.CreateVector(rows);
    builder.Finish(fb::CreateCharges(builder, all));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::vector<kernel::requests::pool_charge> decodeCharges(std::string_view bytes)
{
    std::vector<kernel::requests::pool_charge> out;
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                   bytes.size());
    if (!verifier.VerifyBuffer<fb::Charges>(nullptr))
        return out;
    const auto *rows = flatbuffers::GetRoot<fb::Charges>(bytes.data())->charges();
    if (rows == nullptr)
        return out;
    for (const auto *row : *rows) {
        const bool usable = row->pool() != nullptr && row->organisation() != nullptr
                && std::isfinite(row->cost()) && row->cost() > 0;
        if (usable)
            out.push_back({row->pool()->str(), row->organisation()->str(), row->cost()});
    }
    return out;
}

} // namespace yuccascale::wire
