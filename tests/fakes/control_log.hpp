#pragma once

#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/state/machine.hpp"
#include "yuccascale/runtime/system_clock.hpp"

#include <functional>
#include <mutex>
#include <vector>

/// \file
/// \brief A control client backed by a single in-process state machine, without a network.

namespace yuccascale::fakes {

/// \brief Applies each command to its state machine immediately. Thread-safe.
class control_log final : public kernel::control_client
{
public:
    /// Called for a command before or after it is applied; an error that it returns is returned to
    /// the submitter in place of the result.
    using fault_hook = std::function<kernel::result<void>(const kernel::state::command &)>;

    [[nodiscard]] kernel::result<kernel::state::command_result>
    submit(const kernel::state::command &command, kernel::instant) override
    {
        // a hook may wait for what reads the view, so none is called under the lock
        if (const fault_hook hook = locked(m_beforeApply))
            BOOST_LEAF_CHECK(hook(command));
        kernel::state::command_result answer = apply(command);
        if (const fault_hook hook = locked(m_afterApply))
            BOOST_LEAF_CHECK(hook(command));
        return answer;
    }

    [[nodiscard]] kernel::control_view view() const override
    {
        const std::scoped_lock guard(m_mutex);
        kernel::control_view current;
        current.tables = m_machine.tables();
        current.freshUntil = m_freshUntil;
        current.confirmedAt = m_confirmedAt;
        current.origins = std::make_shared<const kernel::feed::origin_history>(m_origins);
        return current;
    }

    /// \returns whether the tables are fresh; they are never older than the machine's.
    [[nodiscard]] bool waitConfirmed(kernel::instant since, kernel::milliseconds) override
    {
        const std::scoped_lock guard(m_mutex);
        return since < m_freshUntil;
    }

    /// \brief Applies \a edit to the current revision of the tables, as an operator's edit.
    kernel::state::command_result edit(kernel::state::edit_tables edit)
    {
        const std::scoped_lock guard(m_mutex);
        edit.fromRevision = m_machine.tables()->revision;
        m_origins.update(m_clock.now(), *m_machine.tables(), {});
        ++m_index;
        auto answer
                = m_machine.apply(m_index, {"edit/" + std::to_string(m_index), std::move(edit)});
        m_origins.update(m_clock.now(), *m_machine.tables(), {});
        return answer;
    }

    void setFreshUntil(kernel::instant until)
    {
        const std::scoped_lock guard(m_mutex);
        m_freshUntil = until;
    }

    /// \brief Sets when the tables were last confirmed; without it, they always are.
    void setConfirmedAt(kernel::instant confirmedAt)
    {
        const std::scoped_lock guard(m_mutex);
        m_confirmedAt = confirmedAt;
    }

    /// \brief Sets the hooks that simulate lost commands (\a beforeApply) and lost results
    ///        (\a afterApply).
    void setFaults(fault_hook beforeApply, fault_hook afterApply)
    {
        const std::scoped_lock guard(m_mutex);
        m_beforeApply = std::move(beforeApply);
        m_afterApply = std::move(afterApply);
    }

    /// \returns the commands applied by submit(); those of edit() are not included.
    [[nodiscard]] std::vector<kernel::state::command> commands() const
    {
        const std::scoped_lock guard(m_mutex);
        return m_commands;
    }

private:
    [[nodiscard]] fault_hook locked(const fault_hook &hook) const
    {
        const std::scoped_lock guard(m_mutex);
        return hook;
    }

    kernel::state::command_result apply(const kernel::state::command &command)
    {
        const std::scoped_lock guard(m_mutex);
        m_commands.push_back(command);
        return m_machine.apply(++m_index, command);
    }

    mutable std::mutex m_mutex;
    kernel::state::machine m_machine;
    runtime::system_clock m_clock; ///< of the history; the tables themselves have no time
    kernel::feed::origin_history m_origins{m_clock.now(), kernel::nanoseconds::zero()};
    std::uint64_t m_index = 0;
    kernel::instant m_freshUntil = kernel::instant::max();
    kernel::instant m_confirmedAt = kernel::instant::max() - std::chrono::hours(24 * 365);
    std::vector<kernel::state::command> m_commands;
    fault_hook m_beforeApply;
    fault_hook m_afterApply;
};

} // namespace yuccascale::fakes
