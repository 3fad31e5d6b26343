#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

/// \file
/// \brief Request metrics of a node in the Prometheus text format.

namespace yuccascale::runtime {

/// \brief Counters and latency quantiles of requests. Thread-safe.
///
/// \example
///     metrics.answered({"briefing", "swanfield"}, 800ms);
class metrics
{
public:
    /// \brief Labels of a request's time series.
    struct series
    {
        std::string route;
        std::string organisation; ///< empty on a route open to all

        [[nodiscard]] bool operator<(const series &other) const
        {
            return route != other.route ? route < other.route : organisation < other.organisation;
        }
    };

    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    /// \brief Records that the caller got the first piece of its answer, \a time after the request
    ///        arrived.
    void firstPiece(const series &key, kernel::nanoseconds time);

    /// \brief Records that the caller got its whole answer, \a time after the request arrived.
    void answered(const series &key, kernel::nanoseconds time);

    /// \brief Records that the caller got a typed error.
    /// \param kind name of its error_kind
    void refused(const series &key, std::string_view kind);

    /// \brief Records an attempt that an endpoint completed.
    /// \param firstPiece time from dispatch to the first piece
    /// \param total time from dispatch to the end of the answer
    void endpointAnswered(const std::string &endpoint, kernel::nanoseconds firstPiece,
                          kernel::nanoseconds total);
    void endpointFailed(const std::string &endpoint);

    /// \brief Sets a gauge, such as the number of waiting requests.
    void setGauge(const std::string &name, double value);

    /// \returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct request_shard;
    struct endpoint_shard;
    static constexpr std::size_t shardCount = 8;

    [[nodiscard]] request_shard &shardOf(const series &key) const;
    [[nodiscard]] endpoint_shard &shardOf(const std::string &endpoint) const;

    std::array<std::unique_ptr<request_shard>, shardCount> m_requests;
    std::array<std::unique_ptr<endpoint_shard>, shardCount> m_endpoints;
    mutable std::mutex m_gaugeMutex;
    std::map<std::string, double> m_gauges;
};

} // namespace yuccascale::runtime
