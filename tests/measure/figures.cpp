#include "figures.hpp"

#include <array>

namespace yuccascale::measure {

namespace {

constexpr std::array singleValues{
        &figures::offered,
        &figures::inTime,
        &figures::refused,
        &figures::late,
        &figures::lost,
        &figures::worstShare,
        &figures::worstWait,
        &figures::roleChanges,
        &figures::cost,
        &figures::cheapShare,
        &figures::firstToken,
        &figures::tokenGap,
        &figures::nonIdempotentOnCheap,
};

} // namespace

void figures::add(const figures &other)
{
    for (double figures::*value : singleValues)
        this->*value += other.*value;
    goodput.resize(std::max(goodput.size(), other.goodput.size()));
    for (std::size_t at = 0; at < other.goodput.size(); ++at)
        goodput[at] += other.goodput[at];
}

void figures::scale(double factor)
{
    for (double figures::*value : singleValues)
        this->*value *= factor;
    for (double &value : goodput)
        value *= factor;
}

} // namespace yuccascale::measure
