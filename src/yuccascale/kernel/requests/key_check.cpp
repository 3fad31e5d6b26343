#include "yuccascale/kernel/requests/key_check.hpp"

#include "yuccascale/kernel/requests/part_suspects.hpp"
#include "yuccascale/kernel/state/key_digest.hpp"

namespace yuccascale::kernel::requests {

std::string digestOf(std::string_view text)
{
    return state::keyDigest(text);
}

std::string organisationOf(const state::table_set &tables, std::string_view keyDigest)
{
    const state::key_record *match = nullptr;
    for (const auto &[id, record] : tables.keys) {
        if (state::sameDigest(record.digest, keyDigest))
            match = &record;
    }
    if (!match || !tables.organisations.contains(match->organisation))
        return {};
    return match->organisation;
}

bool isBanned(const std::set<std::string> &bans, const request &request)
{
    return bans.contains(request.fingerprint)
            || isBannedByParts(bans, request.route.pool, request.parts);
}

refusal bannedRefusal()
{
    return {error_kind::Forbidden,
            "this request, or a part of its prompt, crashed the endpoints that ran it; change it "
            "before sending it again",
            false,
            {}};
}

start_check checkStart(instant now, const control_view &view, const request &request)
{
    if (!view.tables)
        return start_check::NotFresh;
    if (view.bannedFingerprints && isBanned(*view.bannedFingerprints, request))
        return start_check::Banned;
    if (request.route.access == state::route_access::Open)
        return start_check::Allowed;
    if (!view.fresh(now))
        return start_check::NotFresh;
    const std::string organisation = organisationOf(*view.tables, request.keyDigest);
    if (organisation.empty() || organisation != request.organisation)
        return start_check::KeyWithdrawn;
    return start_check::Allowed;
}

} // namespace yuccascale::kernel::requests
