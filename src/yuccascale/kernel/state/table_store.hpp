#pragma once

#include "yuccascale/kernel/state/commands.hpp"
#include "yuccascale/kernel/state/order_ledger.hpp"
#include "yuccascale/kernel/state/snapshot_stream.hpp"

#include <memory>
#include <string>

/// \file
/// \brief The tables and the commands that change them.

namespace yuccascale::kernel::state {

/// \brief Holds the current revision of the tables; each change publishes a new one.
class table_store
{
public:
    /// \returns the tables in force; the pointer stays valid and unchanged after later changes.
    [[nodiscard]] std::shared_ptr<const table_set> tables() const noexcept { return m_tables; }

    /// \brief Applies an operator's edit as a whole or refuses it as a whole.
    [[nodiscard]] command_result edit(const edit_tables &edit, const order_ledger &orders);

    /// \brief Replaces all tables by a document whose version is above the stored one.
    /// \returns an accepted result, without any change, when its version is not above the stored
    ///          one.
    [[nodiscard]] command_result putDocument(const put_document &document,
                                             const order_ledger &orders);

    /// \returns the bytes of the newest document; empty before the first.
    [[nodiscard]] std::shared_ptr<const std::string> document() const noexcept
    {
        return m_document;
    }

    /// \brief Sets draining on endpoints whose VM has announced that it will stop; unknown names
    /// are ignored.
    [[nodiscard]] command_result markLeaving(const mark_leaving &notice);

    /// \brief Sets draining on the order's endpoint while the order is open, if its kind requires
    /// that.
    void orderOpened(const order_record &order);

    /// \brief Updates the endpoint's row with the outcome of an order.
    void orderSettled(const order_record &order, const settle_order &settlement);

    /// \returns the endpoint's row in whichever pool lists it, or null.
    [[nodiscard]] const endpoint *findEndpoint(const std::string &name) const noexcept;

    void save(snapshot_writer &out) const;
    void load(snapshot_reader &in);

private:
    /// Whether edits based on earlier revisions stay valid after a change, or conflict because they
    /// could undo it.
    enum class earlier_edits { StayValid, Conflict };

    void publish(std::shared_ptr<table_set> next, earlier_edits earlier);
    /// \returns whether a document replaces the stored one, by its version or since it names the
    /// present revision.
    [[nodiscard]] bool isReplacedBy(const put_document &document) const;
    [[nodiscard]] command_result refusedEdit(std::string problem) const;

    std::shared_ptr<const table_set> m_tables = std::make_shared<table_set>();
    std::shared_ptr<const std::string> m_document = std::make_shared<std::string>();
};

} // namespace yuccascale::kernel::state
