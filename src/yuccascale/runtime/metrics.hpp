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
/// \brief What a node measures of its requests, for Prometheus.

namespace yuccascale::runtime {

/// \brief Counts and quantiles of the requests. Thread-safe.
///
/// \example
///     metrics.answered({"briefing", "swanfield"}, 800ms);
class metrics
{
public:
    /// \brief Who asked for what.
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

    /// \brief The caller got its first piece, \a time after its request came.
    void firstPiece(const series &key, kernel::nanoseconds time);

    /// \brief The caller got its whole answer.
    void answered(const series &key, kernel::nanoseconds time);

    /// \brief The caller got a typed error.
    /// \param kind its name
    void refused(const series &key, std::string_view kind);

    /// \brief An endpoint ended an attempt.
    /// \param firstPiece from dispatch
    void endpointAnswered(const std::string &endpoint, kernel::nanoseconds firstPiece,
                          kernel::nanoseconds total);
    void endpointFailed(const std::string &endpoint);

    /// \brief Sets a value of this moment, such as the requests that wait.
    void setGauge(const std::string &name, double value);

    /// \returns everything in the Prometheus text format.
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
