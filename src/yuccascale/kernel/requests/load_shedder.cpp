#include "yuccascale/kernel/requests/load_shedder.hpp"

namespace yuccascale::kernel::requests {

bool load_shedder::admit(instant now, nanoseconds lag) noexcept
{
    if (lag <= toleratedLag) {
        m_lateSince.reset();
        m_credit = 0;
        return true;
    }
    if (!m_lateSince)
        m_lateSince = now;
    if (now - *m_lateSince < patience)
        return true;
    const double excess
            = std::chrono::duration<double>(lag) / std::chrono::duration<double>(toleratedLag);
    m_credit += 1.0 / (excess * excess);
    if (m_credit < 1)
        return false;
    m_credit -= 1;
    return true;
}

} // namespace yuccascale::kernel::requests
