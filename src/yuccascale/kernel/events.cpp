#include "yuccascale/kernel/events.hpp"

#include <algorithm>

namespace yuccascale::kernel {

namespace {

std::vector<const event_kind *> &registeredKinds()
{
    static std::vector<const event_kind *> kinds;
    return kinds;
}

} // namespace

event_kind::event_kind(int number, std::string_view name, severity level, std::string_view meaning)
    : m_number(number)
    , m_name(name)
    , m_level(level)
    , m_meaning(meaning)
{
    registeredKinds().push_back(this);
}

std::vector<const event_kind *> event_kind::catalogue()
{
    std::vector<const event_kind *> kinds = registeredKinds();
    std::ranges::sort(kinds, {}, &event_kind::number);
    return kinds;
}

} // namespace yuccascale::kernel
