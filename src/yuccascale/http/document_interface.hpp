#pragma once

#include "yuccascale/http/operator_protocol.hpp"
#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/events.hpp"
#include "yuccascale/net/http_exchange.hpp"
#include "yuccascale/runtime/worker_threads.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// \file
/// \brief HTTP interface for an operator that keeps all tables in one document.

namespace yuccascale::http {

/// \brief The document that a node has, confirmed or not.
struct stored_document
{
    std::uint64_t revision = 0; ///< of the node's tables
    std::uint64_t version = 0;  ///< under which it is stored; 0 also when there is none
    std::shared_ptr<const std::string> bytes = std::make_shared<std::string>(); ///< empty: none
};

/// \brief What the interface uses of its node.
struct document_services
{
    kernel::clock &clock;
    kernel::event_sink &events;
    /// Commits a command through the leader, whichever node that is.
    std::function<kernel::result<kernel::state::command_result>(const kernel::state::command &,
                                                                kernel::instant deadline)>
            commit;
    /// Answers once no node can use older tables for longer than promised; false: not by the
    /// deadline. Called with the revision and version of a committed document.
    std::function<void(std::uint64_t revision, std::uint64_t version, kernel::instant deadline,
                       std::function<void(bool settled)> answer)>
            whenSettled;
    /// Reads the document after a quorum has confirmed this node as leader.
    std::function<kernel::result<std::shared_ptr<const std::string>>(kernel::instant deadline)>
            read;
    /// The address at which the leader serves this interface; empty when it is this node or
    /// unknown.
    std::function<std::string()> leaderAddress;
    /// The document that this node has.
    std::function<stored_document()> stored = [] { return stored_document(); };
    std::shared_ptr<runtime::worker_threads> workers = nullptr; ///< null: threads of its own
};

/// \brief Serves an operator that keeps all tables in one document.
///
/// Any node refuses an invalid document, and commits a valid one through the leader; redirecting
/// the write would add another answer that can be lost. Reads are redirected to the leader, or
/// refused with 503 while none is known.
class document_interface
{
public:
    document_interface(document_services services, std::unique_ptr<operator_protocol> protocol);
    ~document_interface();
    document_interface(const document_interface &) = delete;
    document_interface &operator=(const document_interface &) = delete;

    /// \brief Answers each request by \a end, since the process ends then.
    void answerBefore(kernel::instant end);

    /// \brief Answers a request in the background.
    void serve(const std::shared_ptr<net::http_exchange> &exchange);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace yuccascale::http
