#pragma once

#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/state/machine.hpp"

#include <functional>
#include <mutex>
#include <vector>

/// \file
/// \brief A control role of one replica, without a network.

namespace yuccascale::fakes {

/// \brief Applies commands to a state machine at once. Thread-safe.
class control_log final : public kernel::control_client
{
public:
    /// What becomes of a command before it reaches the log; an error answers in its place.
    using fault_hook = std::function<kernel::result<void>(const kernel::state::command &)>;

    [[nodiscard]] kernel::result<kernel::state::command_result>
    submit(const kernel::state::command &command, kernel::instant) override
    {
        const std::scoped_lock guard(m_mutex);
        if (m_beforeApply)
            BOOST_LEAF_CHECK(m_beforeApply(command));
        kernel::state::command_result answer = m_machine.apply(++m_index, command);
        m_commands.push_back(command);
        if (m_afterApply)
            BOOST_LEAF_CHECK(m_afterApply(command));
        return answer;
    }

    [[nodiscard]] kernel::control_view view() const override
    {
        const std::scoped_lock guard(m_mutex);
        kernel::control_view current;
        current.tables = m_machine.tables();
        current.freshUntil = m_freshUntil;
        return current;
    }

    /// \brief Edits the tables as an operator.
    kernel::state::command_result edit(kernel::state::edit_tables edit)
    {
        const std::scoped_lock guard(m_mutex);
        edit.fromRevision = m_machine.tables()->revision;
        ++m_index;
        return m_machine.apply(m_index, {"edit/" + std::to_string(m_index), std::move(edit)});
    }

    void setFreshUntil(kernel::instant until)
    {
        const std::scoped_lock guard(m_mutex);
        m_freshUntil = until;
    }

    /// \brief Loses commands on the way to the log, or their answers on the way back.
    void setFaults(fault_hook beforeApply, fault_hook afterApply)
    {
        const std::scoped_lock guard(m_mutex);
        m_beforeApply = std::move(beforeApply);
        m_afterApply = std::move(afterApply);
    }

    /// \returns the commands applied, edits left out.
    [[nodiscard]] std::vector<kernel::state::command> commands() const
    {
        const std::scoped_lock guard(m_mutex);
        return m_commands;
    }

private:
    mutable std::mutex m_mutex;
    kernel::state::machine m_machine;
    std::uint64_t m_index = 0;
    kernel::instant m_freshUntil = kernel::instant::max();
    std::vector<kernel::state::command> m_commands;
    fault_hook m_beforeApply;
    fault_hook m_afterApply;
};

} // namespace yuccascale::fakes
