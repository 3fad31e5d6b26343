#pragma once

#include "yuccascale/kernel/state/commands.hpp"
#include "yuccascale/kernel/state/order_ledger.hpp"
#include "yuccascale/kernel/state/snapshot_stream.hpp"

#include <memory>
#include <string>

/// \file
/// \brief The tables and everything that changes them.

namespace yuccascale::kernel::state {

/// \brief Holds one revision of the tables; each change makes a new one.
class table_store
{
public:
    /// \returns the tables in force; the pointer stays valid and unchanged after later changes.
    [[nodiscard]] std::shared_ptr<const table_set> tables() const noexcept { return m_tables; }

    /// \brief Applies an operator's edit whole, or refuses it whole.
    [[nodiscard]] command_result edit(const edit_tables &edit, const order_ledger &orders);

    /// \brief Replaces all tables by a document whose version is above the stored one.
    /// \returns an acceptance that changes nothing when it is not above it.
    [[nodiscard]] command_result putDocument(const put_document &document,
                                             const order_ledger &orders);

    /// \returns the bytes of the newest document; empty before the first.
    [[nodiscard]] std::shared_ptr<const std::string> document() const noexcept
    {
        return m_document;
    }

    /// \brief Sets draining on endpoints whose VM gave notice; unknown names are passed over.
    [[nodiscard]] command_result markLeaving(const mark_leaving &notice);

    /// \brief Keeps new work from an endpoint while its order is open.
    void orderOpened(const order_record &order);

    /// \brief Takes an order's outcome into the endpoint's row.
    void orderSettled(const order_record &order, const settle_order &settlement);

    /// \returns the endpoint's row in whichever pool lists it, or null.
    [[nodiscard]] const endpoint *findEndpoint(const std::string &name) const noexcept;

    void save(snapshot_writer &out) const;
    void load(snapshot_reader &in);

private:
    /// Edits made from earlier revisions conflict after a change that they could undo.
    enum class earlier_edits { StayValid, Conflict };

    void publish(std::shared_ptr<table_set> next, earlier_edits earlier);
    [[nodiscard]] command_result refusedEdit(std::string problem) const;

    std::shared_ptr<const table_set> m_tables = std::make_shared<table_set>();
    std::shared_ptr<const std::string> m_document = std::make_shared<std::string>();
};

} // namespace yuccascale::kernel::state
