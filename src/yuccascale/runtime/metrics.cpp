#include "yuccascale/runtime/metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <functional>
#include <sstream>

namespace yuccascale::runtime {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> probabilities{0.5, 0.95, 0.99};

/// Count, sum and quantiles of a duration in seconds.
class duration_summary
{
public:
    void add(kernel::nanoseconds time) { m_values(std::chrono::duration<double>(time).count()); }

    void write(std::ostream &out, std::string_view name, const std::string &labels) const
    {
        for (std::size_t index = 0; index < probabilities.size(); ++index) {
            out << name << '{' << labels << ",quantile=\"" << probabilities.at(index) << "\"} "
                << accumulators::extended_p_square(m_values)[static_cast<std::ptrdiff_t>(index)]
                << '\n';
        }
        out << name << "_sum{" << labels << "} " << accumulators::sum(m_values) << '\n';
        out << name << "_count{" << labels << "} " << accumulators::count(m_values) << '\n';
    }

    [[nodiscard]] bool empty() const { return accumulators::count(m_values) == 0; }

private:
    using values = accumulators::accumulator_set<
            double,
            accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                                accumulators::tag::extended_p_square>>;

    values m_values{accumulators::extended_p_square_probabilities = probabilities};
};

struct request_statistics
{
    duration_summary firstPiece;
    duration_summary total;
    std::map<std::string, std::uint64_t, std::less<>> refusals; ///< by kind
};

struct endpoint_statistics
{
    duration_summary firstPiece;
    duration_summary total;
    std::uint64_t failures = 0;
};

void describe(std::ostream &out, std::string_view name, std::string_view type,
              std::string_view help)
{
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
}

[[nodiscard]] std::string escaped(std::string_view text)
{
    std::string escapedText;
    for (const char character : text) {
        if (character == '\\' || character == '"')
            escapedText.push_back('\\');
        escapedText.push_back(character == '\n' ? ' ' : character);
    }
    return escapedText;
}

[[nodiscard]] std::string labelsOf(const metrics::series &key)
{
    return "route=\"" + escaped(key.route) + "\",organisation=\"" + escaped(key.organisation) + '"';
}

[[nodiscard]] std::string labelsOf(const std::string &endpoint)
{
    return "endpoint=\"" + escaped(endpoint) + '"';
}

} // namespace

struct metrics::request_shard
{
    mutable std::mutex mutex;
    std::map<series, request_statistics> statistics;
};

struct metrics::endpoint_shard
{
    mutable std::mutex mutex;
    std::map<std::string, endpoint_statistics> statistics;
};

metrics::metrics()
{
    for (auto &shard : m_requests)
        shard = std::make_unique<request_shard>();
    for (auto &shard : m_endpoints)
        shard = std::make_unique<endpoint_shard>();
}

metrics::~metrics() = default;

metrics::request_shard &metrics::shardOf(const series &key) const
{
    const std::hash<std::string> hash;
    return *m_requests.at((hash(key.route) ^ hash(key.organisation)) % shardCount);
}

metrics::endpoint_shard &metrics::shardOf(const std::string &endpoint) const
{
    return *m_endpoints.at(std::hash<std::string>{}(endpoint) % shardCount);
}

void metrics::firstPiece(const series &key, kernel::nanoseconds time)
{
    request_shard &shard = shardOf(key);
    const std::scoped_lock guard(shard.mutex);
    shard.statistics[key].firstPiece.add(time);
}

void metrics::answered(const series &key, kernel::nanoseconds time)
{
    request_shard &shard = shardOf(key);
    const std::scoped_lock guard(shard.mutex);
    shard.statistics[key].total.add(time);
}

void metrics::refused(const series &key, std::string_view kind)
{
    request_shard &shard = shardOf(key);
    const std::scoped_lock guard(shard.mutex);
    ++shard.statistics[key].refusals[std::string(kind)];
}

void metrics::endpointAnswered(const std::string &endpoint, kernel::nanoseconds firstPiece,
                               kernel::nanoseconds total)
{
    endpoint_shard &shard = shardOf(endpoint);
    const std::scoped_lock guard(shard.mutex);
    endpoint_statistics &statistics = shard.statistics[endpoint];
    statistics.firstPiece.add(firstPiece);
    statistics.total.add(total);
}

void metrics::endpointFailed(const std::string &endpoint)
{
    endpoint_shard &shard = shardOf(endpoint);
    const std::scoped_lock guard(shard.mutex);
    ++shard.statistics[endpoint].failures;
}

void metrics::setGauge(const std::string &name, double value)
{
    const std::scoped_lock guard(m_gaugeMutex);
    m_gauges[name] = value;
}

std::string metrics::text() const
{
    std::ostringstream firstPieces;
    std::ostringstream answers;
    std::ostringstream refusals;
    std::ostringstream endpointFirstPieces;
    std::ostringstream endpointAnswers;
    std::ostringstream failures;
    describe(firstPieces, "yuccascale_first_piece_seconds", "summary",
             "From a request's arrival to its first piece.");
    describe(answers, "yuccascale_answer_seconds", "summary",
             "From a request's arrival to its whole answer.");
    describe(refusals, "yuccascale_refusals_total", "counter", "Typed errors by kind.");
    describe(endpointFirstPieces, "yuccascale_endpoint_first_piece_seconds", "summary",
             "From dispatch to an endpoint's first piece.");
    describe(endpointAnswers, "yuccascale_endpoint_answer_seconds", "summary",
             "From dispatch to an endpoint's whole answer.");
    describe(failures, "yuccascale_endpoint_failures_total", "counter",
             "Attempts that an endpoint failed.");
    for (const auto &shard : m_requests) {
        const std::scoped_lock guard(shard->mutex);
        for (const auto &[key, statistics] : shard->statistics) {
            if (!statistics.firstPiece.empty())
                statistics.firstPiece.write(firstPieces, "yuccascale_first_piece_seconds",
                                            labelsOf(key));
            if (!statistics.total.empty())
                statistics.total.write(answers, "yuccascale_answer_seconds", labelsOf(key));
            for (const auto &[kind, count] : statistics.refusals)
                refusals << "yuccascale_refusals_total{" << labelsOf(key) << ",kind=\""
                         << escaped(kind) << "\"} " << count << '\n';
        }
    }
    for (const auto &shard : m_endpoints) {
        const std::scoped_lock guard(shard->mutex);
        for (const auto &[endpoint, statistics] : shard->statistics) {
            if (!statistics.total.empty()) {
                statistics.firstPiece.write(endpointFirstPieces,
                                            "yuccascale_endpoint_first_piece_seconds",
                                            labelsOf(endpoint));
                statistics.total.write(endpointAnswers, "yuccascale_endpoint_answer_seconds",
                                       labelsOf(endpoint));
            }
            failures << "yuccascale_endpoint_failures_total{" << labelsOf(endpoint) << "} "
                     << statistics.failures << '\n';
        }
    }
    std::ostringstream gauges;
    {
        const std::scoped_lock guard(m_gaugeMutex);
        for (const auto &[name, value] : m_gauges)
            gauges << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
    }
    return firstPieces.str() + answers.str() + refusals.str() + endpointFirstPieces.str()
            + endpointAnswers.str() + failures.str() + gauges.str();
}

} // namespace yuccascale::runtime
