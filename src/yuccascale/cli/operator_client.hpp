#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/error.hpp"
#include "yuccascale/kernel/json.hpp"
#include "yuccascale/kernel/state/commands.hpp"

#include <string>
#include <vector>

/// \file
/// \brief Client of the operator interface; tries the nodes in turn until one answers.

namespace yuccascale::cli {

/// \brief Sends requests to any of several nodes. Every edit carries an operation id, so that a
///        retry after a lost answer returns the answer of the first attempt.
///
/// \example
///     BOOST_LEAF_AUTO(tables, client.tables());
class operator_client
{
public:
    /// \param timeout after which no further attempt is started
    operator_client(std::vector<std::string> addresses, std::string operatorKey,
                    kernel::milliseconds timeout);

    /// \brief Creates a client from the flags.
    /// \returns error_kind::InvalidArgument when a flag is missing or invalid, or the error of
    ///          runtime::readSecret() for the key file.
    [[nodiscard]] static kernel::result<operator_client> fromFlags();

    /// \returns the tables in force at the first node that answers.
    [[nodiscard]] kernel::result<kernel::state::table_set> tables() const;

    /// \returns the tables in force at \a address, without a retry.
    [[nodiscard]] kernel::result<kernel::state::table_set>
    tablesAt(const std::string &address) const;

    /// \brief Commits an edit under \a operationId.
    /// \returns error_kind::Conflict when the tables are at another revision.
    [[nodiscard]] kernel::result<kernel::state::command_result>
    edit(const kernel::state::edit_tables &edit, const std::string &operationId) const;

    /// \returns the JSON answer to a GET.
    [[nodiscard]] kernel::result<kernel::json> get(const std::string &path) const;

    /// \returns the JSON answer to a POST under \a operationId.
    [[nodiscard]] kernel::result<kernel::json>
    post(const std::string &path, const kernel::json &body, const std::string &operationId) const;

    [[nodiscard]] const std::vector<std::string> &addresses() const noexcept { return m_addresses; }

private:
    struct operator_request
    {
        std::string method;
        std::string path;
        std::string body;
        std::string operationId;
    };

    [[nodiscard]] kernel::result<kernel::json> send(const operator_request &request) const;
    [[nodiscard]] kernel::result<kernel::json> sendTo(const std::string &address,
                                                      const operator_request &request) const;

    std::vector<std::string> m_addresses;
    std::string m_operatorKey;
    kernel::milliseconds m_timeout;
};

/// \returns a new random operation id.
[[nodiscard]] std::string newOperationId();

} // namespace yuccascale::cli
