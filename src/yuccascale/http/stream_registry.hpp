#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/requests/request.hpp"
#include "yuccascale/kernel/requests/stream_origins.hpp"
#include "yuccascale/runtime/worker_pool.hpp"
#include "yuccascale/wire/stream_codec.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Shares among the entries which endpoints began a stream.

namespace yuccascale::http {

/// \brief How entries reach each other; all null when there is only one.
struct entry_exchange
{
    /// Links of the other entries that run.
    std::function<std::vector<std::string>()> others;
    /// Links of the control nodes, which keep records too: they outlive entries that are lost at
    /// once.
    std::function<std::vector<std::string>()> archives = nullptr;
    /// Sends without waiting; the message may be lost.
    std::function<void(const std::string &link, std::string message)> post;
    /// Sends and waits for the answer; nothing when none came.
    std::function<std::optional<std::string>(const std::string &link, std::string message)> call;
};

/// \brief What an entry knows of the time in which streams can have begun.
struct origins_source
{
    /// \returns where streams of a route and its pool can have begun, for at least \a lookback.
    std::function<kernel::requests::origins_seen(const std::string &route, const std::string &pool,
                                                 kernel::nanoseconds lookback)>
            seen;
    /// \returns how long ago a stream of a route can have begun, as far as its deadlines tell.
    std::function<kernel::nanoseconds(const std::string &route)> lookback;
    /// Waits until what this entry knows is newer than \a since; false when that takes too long.
    std::function<bool(kernel::instant since)> waitConfirmed;
};

/// \brief Records where streams began, here and at the entries and the control node that keep the
/// record for others. Thread-safe.
///
/// While a route leads to one pool with one software version only, a stream can have begun at no
/// other, and nothing is sent. An entry that sees another, or does not know, sends all records that
/// it has. It always sends that of a stream whose caller waits longer than the route's deadlines
/// tell.
class stream_registry
{
public:
    using origin_callback
            = std::function<void(std::optional<kernel::requests::stream_origin> origin)>;

    /// \param workers for questions to other nodes; null: threads of its own
    stream_registry(const kernel::clock &clock, entry_exchange exchange, origins_source origins,
                    std::shared_ptr<runtime::worker_threads> workers = nullptr);

    /// \brief The registry of a control node: it keeps records, and begins and takes up no streams.
    [[nodiscard]] static std::unique_ptr<stream_registry> archive(const kernel::clock &clock);

    /// \brief Records that the first piece of a request's stream arrived.
    void record(const kernel::requests::request &callerRequest, const std::string &version);

    /// \brief Finds out where the stream began that a request takes up.
    /// \param done called on another thread, with nothing when that is not known for sure
    void locate(const kernel::requests::request &callerRequest, origin_callback done);

    /// \brief Handles a message of another entry.
    /// \returns the answer to its question; empty when it asked none.
    [[nodiscard]] std::string handle(std::string_view message);

    /// \brief Ends the threads; later questions are not answered.
    void shutdown() { m_workers.shutdown(); }

private:
    /// A stream that a request takes up.
    struct take_up
    {
        wire::stream_query query;
        kernel::instant receivedAt{};      ///< the request; the stream began before
        kernel::nanoseconds callerWaits{}; ///< as the request says; zero: not said
    };

    [[nodiscard]] kernel::requests::origin_answer known(const wire::stream_query &query);
    [[nodiscard]] std::optional<kernel::requests::stream_origin> find(const take_up &stream);
    [[nodiscard]] std::vector<kernel::requests::origin_answer>
    ask(const wire::stream_query &query, const std::vector<std::string> &links) const;
    [[nodiscard]] std::vector<kernel::requests::stream_record>
    recordsToSend(const std::string &route, const kernel::requests::stream_record &began);
    void send(const std::vector<kernel::requests::stream_record> &records);
    [[nodiscard]] std::vector<std::string> others() const;
    [[nodiscard]] std::vector<std::string> archives() const;

    const kernel::clock &m_clock;
    const entry_exchange m_exchange;
    const origins_source m_sources;
    std::mutex m_mutex;
    kernel::requests::stream_origins m_origins;
    std::set<std::string> m_ambiguousRoutes; ///< whose records were sent
    runtime::worker_pool m_workers;
};

} // namespace yuccascale::http
