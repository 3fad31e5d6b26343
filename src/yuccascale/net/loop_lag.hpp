#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/net/event_loops.hpp"

#include <atomic>
#include <memory>

/// \file
/// \brief Measures how late an event loop is.

namespace yuccascale::net {

/// \brief The time that work waits on an event loop until it runs.
///
/// Costs nothing while the loop is idle: a measurement begins with a call of touch() and ends when
/// everything that was queued by then has run. While the loop is late the next one follows at once.
/// Used on its loop only, unless stated.
class loop_lag
{
public:
    loop_lag(io_context &loop, const kernel::clock &clock);

    /// \brief Begins a measurement unless one is in progress. Call it where the loop begins work
    /// that others wait behind.
    void touch();

    /// \returns how long work now waits: the newest measurement, of which one in progress counts as
    ///          far as it has come. Zero after a second without work.
    [[nodiscard]] kernel::nanoseconds lag() const;

    /// \returns the longest finished measurement since the last call. Thread-safe.
    [[nodiscard]] kernel::nanoseconds takeLongest();

private:
    struct measurements
    {
        kernel::instant beganAt{};
        bool running = false;
        kernel::instant endedAt{}; ///< of the newest that has finished
        kernel::nanoseconds last{};
        std::atomic<kernel::nanoseconds> longest{kernel::nanoseconds::zero()};
    };

    static void begin(io_context &loop, const kernel::clock &clock,
                      const std::shared_ptr<measurements> &measured);
    static void end(kernel::instant now, measurements &measured);

    io_context &m_loop;
    const kernel::clock &m_clock;
    std::shared_ptr<measurements> m_measured; ///< shared with the measurement in progress
};

} // namespace yuccascale::net
