#pragma once

#include "fakes/control_log.hpp"
#include "fakes/endpoint_path.hpp"
#include "yuccascale/http/caller_server.hpp"
#include "yuccascale/kernel/events.hpp"
#include "yuccascale/net/http_server.hpp"
#include "yuccascale/runtime/system_clock.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Several entries before several endpoints, with a network between them that tests cut.

namespace yuccascale::fakes {

/// \brief A server of the platform that keeps connections open and records the ids that it runs.
class recording_server
{
public:
    /// Answers a request; called on the server's loop.
    using answerer = std::function<void(const std::shared_ptr<net::http_exchange> &)>;

    /// \param answer null: answers at once with a short body
    explicit recording_server(answerer answer = nullptr);
    ~recording_server();
    recording_server(const recording_server &) = delete;
    recording_server &operator=(const recording_server &) = delete;

    [[nodiscard]] const std::string &address() const noexcept { return m_address; }

    /// \returns how often each request id arrived.
    [[nodiscard]] std::map<std::string, int> runs() const;

    /// \returns the headers of the requests that arrived, in order.
    [[nodiscard]] std::vector<net::header_list> received() const;

    /// \returns the head of an answer of this server to a request.
    [[nodiscard]] static net::header_list answerHeaders(net::http_exchange &exchange);

private:
    void serve(const std::shared_ptr<net::http_exchange> &exchange);

    answerer m_answer;
    std::string m_address;
    mutable std::mutex m_mutex;
    std::vector<net::header_list> m_received;
    net::event_loops m_loops{1};
    net::http_server m_server{m_loops, {}, [this](const auto &exchange) { serve(exchange); }};
};

/// \brief What a caller got.
struct caller_result
{
    std::string id;
    int status = 0; ///< 0: the connection ended without an answer
    std::string body;
    kernel::milliseconds took{};
};

/// \brief The entries. Each reaches each endpoint over a path of its own.
class partitioned_entries
{
public:
    /// \param servers not owned; one pool holds all of them
    partitioned_entries(std::size_t entryCount, std::span<recording_server *const> servers);
    ~partitioned_entries();
    partitioned_entries(const partitioned_entries &) = delete;
    partitioned_entries &operator=(const partitioned_entries &) = delete;

    /// \brief Sets the paths between an entry and all endpoints.
    void setPaths(std::size_t entry, path_state state);

    /// \brief Sends a request with a new id; \a idempotent: it may run more than once.
    [[nodiscard]] caller_result ask(std::size_t entry, bool idempotent = true);

    /// \brief Sends a request for a stream with a new id.
    [[nodiscard]] caller_result askStream(std::size_t entry);

    /// \brief Sends a request with a new id and more headers.
    [[nodiscard]] caller_result send(std::size_t entry, const std::string &path,
                                     const std::map<std::string, std::string> &headers);

    /// \brief Sends idempotent requests to these entries, one after the other, for some time.
    void askFor(std::span<const std::size_t> entries, kernel::milliseconds time);

    /// \returns how many of \a count requests of each kind were answered by an endpoint. Stops
    ///          once half of them have failed.
    [[nodiscard]] int served(std::size_t entry, int count);

    /// \returns the addresses that an entry sends to callers.
    [[nodiscard]] std::vector<std::string> offered(std::size_t entry) const;

    [[nodiscard]] const std::string &callerAddress(std::size_t entry) const;
    [[nodiscard]] http::caller_server &server(std::size_t entry) const;

    /// \returns the connections that an entry has opened to endpoints.
    [[nodiscard]] int connections(std::size_t entry) const;

    /// \returns the events of an entry, by number.
    [[nodiscard]] std::map<int, int> events(std::size_t entry) const;

    /// \returns every result of ask().
    [[nodiscard]] const std::vector<caller_result> &results() const noexcept { return m_results; }

    static constexpr kernel::milliseconds callerDeadline{2'000};

private:
    struct entry;

    [[nodiscard]] std::vector<kernel::feed::node_report> nodes() const;
    void updateAll() const;
    void startEntry(std::size_t index, std::span<recording_server *const> servers);

    runtime::system_clock m_clock;
    net::event_loops m_network{1};
    mutable std::mutex m_mutex;
    std::vector<std::unique_ptr<entry>> m_entries;
    std::vector<caller_result> m_results;
    int m_lastId = 0;
};

} // namespace yuccascale::fakes
