#include "yuccascale/kernel/feed/feed_state.hpp"
#include "yuccascale/wire/feed_codec.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

/// \file
/// \brief Prints how long an edit takes until it is settled, and what that costs in messages, on
///        simulated nodes: a leader, two relays, and entries that poll the three evenly.

namespace yuccascale {

namespace {

using namespace kernel;

constexpr milliseconds freshness{4'700};
constexpr milliseconds propagation{2'000};
constexpr milliseconds pollInterval{600};
constexpr milliseconds reportJoinTime{20};
constexpr milliseconds editInterval{5'000};
constexpr nanoseconds latency{milliseconds(1)}; ///< one way
constexpr int edits = 20;
constexpr std::size_t controlNodes = 3;

/// Messages since the last edit.
struct message_counts
{
    int polls = 0;
    int reports = 0;
    std::size_t reportBytes = 0;
};

class simulated_feed
{
public:
    simulated_feed(std::size_t entries, bool reports)
        : m_reports(reports)
    {
        for (std::size_t index = 0; index < controlNodes + entries; ++index) {
            m_nodes.push_back(std::make_unique<feed::feed_state>(freshness, propagation));
            m_reportDue.push_back(false);
        }
    }

    void run()
    {
        m_nodes[0]->installConfirmedState(m_now, m_now, {tables(), 0, {}}, reportOf(0));
        for (std::size_t index = 1; index < m_nodes.size(); ++index) {
            const auto offset = pollInterval * index / m_nodes.size();
            after(offset, [this, index] { pollAndRepeat(index); });
        }
        after(nanoseconds::zero(), [this] { readAndRepeat(); });
        for (int number = 1; number <= edits; ++number)
            after(number * editInterval, [this] { edit(); });
        const instant end = m_now + (edits + 1) * editInterval;
        while (m_now < end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.run();
        }
    }

    void print(const char *name) const
    {
        std::vector<double> waits = m_waits;
        std::ranges::sort(waits);
        const double count = edits;
        std::printf("%-8s entries %4zu  settled after: median %6.1f ms, longest %6.1f ms; an edit: "
                    "%6.1f polls and %6.1f reports of %7.0f bytes in all, in the 600 ms after it\n",
                    name, m_nodes.size() - controlNodes,
                    waits.empty() ? -1 : waits[waits.size() / 2], waits.empty() ? -1 : waits.back(),
                    m_counts.polls / count, m_counts.reports / count,
                    static_cast<double>(m_counts.reportBytes) / count);
    }

private:
    struct event
    {
        instant at{};
        std::uint64_t number = 0;
        std::function<void()> run;
        [[nodiscard]] bool operator<(const event &other) const
        {
            return std::pair(other.at, other.number) < std::pair(at, number);
        }
    };

    void after(nanoseconds time, std::function<void()> run)
    {
        m_events.push({m_now + time, ++m_eventNumber, std::move(run)});
    }

    [[nodiscard]] std::shared_ptr<state::table_set> tables() const
    {
        auto out = std::make_shared<state::table_set>();
        out->revision = m_revision;
        return out;
    }

    [[nodiscard]] feed::node_report reportOf(std::size_t index) const
    {
        feed::node_report out;
        out.node = "perth-a-" + std::to_string(index);
        out.link = "10.1.0." + std::to_string(index) + ":7660";
        out.callers = "10.1.0." + std::to_string(index) + ":8400";
        out.zone = "perth-a";
        out.incarnation = 1;
        out.revision = m_nodes[index]->revision();
        return out;
    }

    [[nodiscard]] static std::size_t peerOf(std::size_t index)
    {
        return index < controlNodes ? 0 : index % controlNodes;
    }

    [[nodiscard]] bool counted() const { return m_now - m_editedAt < pollInterval; }

    void readAndRepeat()
    {
        read();
        after(pollInterval, [this] { readAndRepeat(); });
    }

    /// A quorum confirms it a round trip later.
    void read()
    {
        const instant askedAt = m_now;
        after(2 * latency, [this, askedAt] {
            if (m_nodes[0]->installConfirmedState(askedAt, m_now, {tables(), 0, {}}, reportOf(0)))
                notify(0);
            judge();
        });
    }

    void edit()
    {
        ++m_revision;
        m_editedAt = m_now;
        m_settled = false;
        read();
    }

    void notify(std::size_t from)
    {
        for (std::size_t index = 1; index < m_nodes.size(); ++index) {
            if (peerOf(index) == from)
                after(latency, [this, index] { poll(index); });
        }
    }

    void pollAndRepeat(std::size_t index)
    {
        poll(index);
        after(pollInterval, [this, index] { pollAndRepeat(index); });
    }

    void poll(std::size_t index)
    {
        m_counts.polls += counted() ? 1 : 0;
        const instant sentAt = m_now;
        const std::size_t peer = peerOf(index);
        const auto request = m_nodes[index]->request(m_now, reportOf(index), true);
        after(latency, [this, index, peer, sentAt, request] {
            const feed::feed_reply reply = answer(peer, index, request);
            after(latency, [this, index, sentAt, reply] { install(index, sentAt, reply); });
        });
    }

    [[nodiscard]] feed::feed_reply answer(std::size_t node, std::size_t from,
                                          const feed::feed_request &request)
    {
        const auto leads = node == 0 ? std::optional(instant{}) : std::nullopt;
        feed::feed_reply reply = m_nodes[node]->answer(m_now, reportOf(from).node, request, leads);
        if (m_nodes[node]->takeHigherReports() && node != 0)
            reportSoon(node);
        judge();
        return reply;
    }

    void install(std::size_t index, instant sentAt, const feed::feed_reply &reply)
    {
        if (!m_nodes[index]->install(sentAt, reply))
            return;
        notify(index);
        if (index < controlNodes)
            reportSoon(index);
        else
            report(index);
    }

    void reportSoon(std::size_t index)
    {
        if (m_reportDue[index])
            return;
        m_reportDue[index] = true;
        after(reportJoinTime, [this, index] {
            m_reportDue[index] = false;
            report(index);
        });
    }

    void report(std::size_t index)
    {
        if (!m_reports)
            return;
        const std::size_t peer = peerOf(index);
        const auto request = m_nodes[index]->request(m_now, reportOf(index), true);
        m_counts.reports += 1;
        m_counts.reportBytes += wire::encodeFeedRequest(request).size();
        after(latency,
              [this, index, peer, request] { static_cast<void>(answer(peer, index, request)); });
    }

    void judge()
    {
        if (m_settled || m_nodes[0]->leases(m_now).settled(m_now, instant{}) < m_revision)
            return;
        m_settled = true;
        m_waits.push_back(std::chrono::duration<double, std::milli>(m_now - m_editedAt).count());
    }

    bool m_reports;
    instant m_now{seconds(100)};
    std::priority_queue<event> m_events;
    std::uint64_t m_eventNumber = 0;
    std::vector<std::unique_ptr<feed::feed_state>> m_nodes;
    std::vector<bool> m_reportDue;
    std::uint64_t m_revision = 1;
    instant m_editedAt{};
    bool m_settled = true;
    message_counts m_counts;
    std::vector<double> m_waits;
};

} // namespace

} // namespace yuccascale

int main()
{
    for (const std::size_t entries : {7U, 300U}) {
        for (const bool reports : {false, true}) {
            yuccascale::simulated_feed feed(entries, reports);
            feed.run();
            feed.print(reports ? "reports" : "polls");
        }
    }
}
