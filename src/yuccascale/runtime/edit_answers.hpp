#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/events.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// \file
/// \brief Answers to edits that wait until the edit's revision is settled.

namespace yuccascale::runtime {

/// \brief An edit that is committed and not answered yet.
struct committed_edit
{
    std::uint64_t revision = 0;
    kernel::instant settledBy{}; ///< it is settled then, whatever other nodes say
    kernel::instant deadline{};  ///< the answer is given up then
    /// Called once, on any thread. \param settled false when the answer was given up
    std::function<void(bool settled)> answer;
};

/// \brief Holds committed edits without a thread for each, and answers them. Thread-safe.
class edit_answers
{
public:
    /// \brief What it uses of its node.
    struct hooks
    {
        /// \returns the highest revision that is known to be settled.
        std::function<std::uint64_t()> settled;
        /// \returns the node that keeps later revisions from being settled; may be empty.
        std::function<std::string()> slowest;
    };

    edit_answers(kernel::clock &clock, kernel::event_sink &events, hooks hooks);
    ~edit_answers();
    edit_answers(const edit_answers &) = delete;
    edit_answers &operator=(const edit_answers &) = delete;

    /// \brief Answers the edit when its revision is settled, at once if it is.
    void add(committed_edit edit);

    /// \brief Answers the edits whose revision is settled by now.
    void check();

    /// \returns since when the newest of the edits that wait has waited; nullopt when none waits.
    [[nodiscard]] std::optional<kernel::instant> newest() const;

    /// \brief Gives up, at \a end, the edits that are not settled by then.
    void answerBefore(kernel::instant end);

    /// \brief Gives up all answers, those of later edits at once. No answer is given after it
    /// returns.
    void stop();

private:
    struct held_edit
    {
        committed_edit edit;
        kernel::instant since{};
        std::string slowest; ///< when it began to wait
    };

    [[nodiscard]] bool hold(const held_edit &held);
    [[nodiscard]] kernel::instant nextEnd() const;
    void run();
    void finish(const held_edit &held, bool settled);

    kernel::clock &m_clock;
    kernel::event_sink &m_events;
    hooks m_hooks;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<held_edit> m_held;
    kernel::instant m_end = kernel::instant::max();
    int m_checks = 0; ///< calls of check() that may still give answers
    bool m_stopped = false;
    std::thread m_thread; ///< started with the first edit that waits
};

} // namespace yuccascale::runtime
