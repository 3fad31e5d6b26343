#pragma once

#include "yuccascale/http/worker_pool.hpp"
#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/requests/request.hpp"
#include "yuccascale/kernel/requests/stream_origins.hpp"
#include "yuccascale/wire/stream_codec.hpp"

#include <functional>
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
    /// Sends without waiting; the message may be lost.
    std::function<void(const std::string &link, std::string message)> post;
    /// Sends and waits for the answer; nothing when none came.
    std::function<std::optional<std::string>(const std::string &link, std::string message)> call;
};

/// \brief Records where streams began, here and at entries that keep the record for others.
/// Thread-safe.
///
/// While a route leads to one pool with one software version only, a stream can have begun at no
/// other, and nothing is sent. An entry that sees another sends all records that it has.
class stream_registry
{
public:
    using origin_callback
            = std::function<void(std::optional<kernel::requests::stream_origin> origin)>;
    /// \returns where streams of a route and its pool can have begun during the lookback.
    using origins_lookup = std::function<kernel::requests::origins_seen(
            const std::string &route, const std::string &pool, kernel::nanoseconds lookback)>;

    stream_registry(const kernel::clock &clock, entry_exchange exchange,
                    origins_lookup originsSeen);

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
    [[nodiscard]] kernel::requests::origin_answer known(const wire::stream_query &query);
    [[nodiscard]] std::optional<kernel::requests::stream_origin>
    find(const wire::stream_query &query);
    [[nodiscard]] std::vector<kernel::requests::stream_record>
    recordsToSend(const std::string &route, const kernel::requests::stream_record &began);
    void send(const std::vector<kernel::requests::stream_record> &records);
    [[nodiscard]] std::vector<std::string> others() const;

    const kernel::clock &m_clock;
    const entry_exchange m_exchange;
    const origins_lookup m_originsSeen;
    std::mutex m_mutex;
    kernel::requests::stream_origins m_origins;
    std::set<std::string> m_ambiguousRoutes; ///< whose records were sent
    worker_pool m_workers;
};

} // namespace yuccascale::http
