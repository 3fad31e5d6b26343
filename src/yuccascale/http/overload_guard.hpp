#pragma once

#include "yuccascale/kernel/events.hpp"
#include "yuccascale/kernel/requests/load_shedder.hpp"
#include "yuccascale/net/loop_lag.hpp"

#include <atomic>
#include <cstdint>

/// \file
/// \brief Refuses requests that an event loop is too late to serve.

namespace yuccascale::http {

/// \brief Sheds the requests of one event loop by the loop's lag. Used on its loop only, unless
/// stated.
class overload_guard
{
public:
    overload_guard(net::io_context &loop, const kernel::clock &clock, kernel::event_sink &events);

    /// \brief Call it for each request before any work is done for it.
    /// \returns whether to admit the request; otherwise refuse it as not run.
    [[nodiscard]] bool admit();

    /// \returns the longest lag since the last call. Thread-safe.
    [[nodiscard]] kernel::nanoseconds takeLongestLag() { return m_lag.takeLongest(); }

    /// \returns the requests refused since the start. Thread-safe.
    [[nodiscard]] std::uint64_t refused() const noexcept { return m_refused; }

private:
    const kernel::clock &m_clock;
    kernel::event_sink &m_events;
    net::loop_lag m_lag;
    kernel::requests::load_shedder m_shedder;
    std::atomic<std::uint64_t> m_refused{0};
    kernel::instant m_nextRecordAt{}; ///< when the next log line may be written
};

} // namespace yuccascale::http
