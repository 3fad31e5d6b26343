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

struct request_figures
{
    duration_summary firstPiece;
    duration_summary whole;
    std::map<std::string, std::uint64_t, std::less<>> refusals; ///< by kind
};

struct endpoint_figures
{
    duration_summary firstPiece;
    duration_summary whole;
    std::uint64_t failures = 0;
};

void describe(std::ostream &out, std::string_view name, std::string_view type,
              std::string_view help)
{
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
}

[[nodiscard]] std::string escaped(std::string_view text)
{
    std::string safe;
    for (const char character : text) {
        if (character == '\\' || character == '"')
            safe.push_back('\\');
        safe.push_back(character == '\n' ? ' ' : character);
    }
    return safe;
}

[[nodiscard]] std::string labelsOf(const metrics::series &of)
{
    return "route=\"" + escaped(of.route) + "\",organisation=\"" + escaped(of.organisation) + '"';
}

[[nodiscard]] std::string labelsOf(const std::string &endpoint)
{
    return "endpoint=\"" + escaped(endpoint) + '"';
}

} // namespace

struct metrics::request_shard
{
    mutable std::mutex mutex;
    std::map<series, request_figures> figures;
};

struct metrics::endpoint_shard
{
    mutable std::mutex mutex;
    std::map<std::string, endpoint_figures> figures;
};

metrics::metrics()
{
    for (auto &shard : m_requests)
        shard = std::make_unique<request_shard>();
    for (auto &shard : m_endpoints)
        shard = std::make_unique<endpoint_shard>();
}

metrics::~metrics() = default;

metrics::request_shard &metrics::shardOf(const series &of) const
{
    const std::hash<std::string> hash;
    return *m_requests.at((hash(of.route) ^ hash(of.organisation)) % shardCount);
}

metrics::endpoint_shard &metrics::shardOf(const std::string &endpoint) const
{
    return *m_endpoints.at(std::hash<std::string>{}(endpoint) % shardCount);
}

void metrics::firstPiece(const series &of, kernel::nanoseconds time)
{
    request_shard &shard = shardOf(of);
    const std::scoped_lock guard(shard.mutex);
    shard.figures[of].firstPiece.add(time);
}

void metrics::answered(const series &of, kernel::nanoseconds time)
{
    request_shard &shard = shardOf(of);
    const std::scoped_lock guard(shard.mutex);
    shard.figures[of].whole.add(time);
}

void metrics::refused(const series &of, std::string_view kind)
{
    request_shard &shard = shardOf(of);
    const std::scoped_lock guard(shard.mutex);
    ++shard.figures[of].refusals[std::string(kind)];
}

void metrics::endpointAnswered(const std::string &endpoint, kernel::nanoseconds firstPiece,
                               kernel::nanoseconds whole)
{
    endpoint_shard &shard = shardOf(endpoint);
    const std::scoped_lock guard(shard.mutex);
    endpoint_figures &figures = shard.figures[endpoint];
    figures.firstPiece.add(firstPiece);
    figures.whole.add(whole);
}

void metrics::endpointFailed(const std::string &endpoint)
{
    endpoint_shard &shard = shardOf(endpoint);
    const std::scoped_lock guard(shard.mutex);
    ++shard.figures[endpoint].failures;
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
        for (const auto &[of, figures] : shard->figures) {
            if (!figures.firstPiece.empty())
                figures.firstPiece.write(firstPieces, "yuccascale_first_piece_seconds",
                                         labelsOf(of));
            if (!figures.whole.empty())
                figures.whole.write(answers, "yuccascale_answer_seconds", labelsOf(of));
            for (const auto &[kind, count] : figures.refusals)
                refusals << "yuccascale_refusals_total{" << labelsOf(of) << ",kind=\""
                         << escaped(kind) << "\"} " << count << '\n';
        }
    }
    for (const auto &shard : m_endpoints) {
        const std::scoped_lock guard(shard->mutex);
        for (const auto &[endpoint, figures] : shard->figures) {
            if (!figures.whole.empty()) {
                figures.firstPiece.write(endpointFirstPieces,
                                         "yuccascale_endpoint_first_piece_seconds",
                                         labelsOf(endpoint));
                figures.whole.write(endpointAnswers, "yuccascale_endpoint_answer_seconds",
                                    labelsOf(endpoint));
            }
            failures << "yuccascale_endpoint_failures_total{" << labelsOf(endpoint) << "} "
                     << figures.failures << '\n';
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
