#include "fakes/quota_entries.hpp"

#include "yuccascale/wire/load_codec.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace yuccascale::fakes {

using namespace kernel;
using namespace kernel::requests;

namespace {

constexpr milliseconds step{5};
constexpr milliseconds messageInterval{500};
const std::string organisationName = "t1";

struct request_kind
{
    double tokens;
    double shareOfTokens;
};

constexpr std::array<request_kind, 3> kinds{{{17'029, 0.66}, {386, 0.29}, {200, 0.05}}};

[[nodiscard]] double inSeconds(nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

quota_entries::quota_entries(quota_world_settings settings)
    : m_settings(settings)
    , m_random(m_settings.seed)
    , m_entries(static_cast<std::size_t>(m_settings.entries))
    , m_listed(m_settings.entries)
{
    for (int index = 0; index < m_settings.entries; ++index)
        startBook(index);
}

void quota_entries::startBook(int index)
{
    entry &started = m_entries.at(static_cast<std::size_t>(index));
    started.book = std::make_unique<quota_book>(m_settings.tolerance,
                                                ++m_lastRun * 7'919 + m_settings.seed);
    started.book->setEntries(m_listed);
    setQuota(index, m_settings.quota);
    started.nextMessage = m_now + std::chrono::duration_cast<nanoseconds>(messageInterval * draw());
}

void quota_entries::end(int entry)
{
    m_entries.at(static_cast<std::size_t>(entry)).book.reset();
}

void quota_entries::restart(int entry)
{
    startBook(entry);
}

void quota_entries::setGroups(const std::function<int(int)> &groupOf)
{
    for (int index = 0; index < m_settings.entries; ++index)
        m_entries.at(static_cast<std::size_t>(index)).group = groupOf(index);
}

void quota_entries::setListed(int entries)
{
    m_listed = entries;
    for (entry &running : m_entries) {
        if (running.book)
            running.book->setEntries(entries);
    }
}

void quota_entries::setQuota(int entry, const state::token_quota &quota)
{
    state::organisation row;
    row.name = organisationName;
    row.quota = {quota};
    m_entries.at(static_cast<std::size_t>(entry)).book->setOrganisations(m_now, {{row.name, row}});
}

void quota_entries::play(nanoseconds time, const demand &asked)
{
    const instant begin = m_now;
    while (m_now - begin < time) {
        m_now += step;
        m_samples.push_back({m_now});
        deliverDue();
        for (int index = 0; index < m_settings.entries; ++index) {
            if (m_entries.at(static_cast<std::size_t>(index)).book)
                askAt(index, asked(index, m_now - begin));
        }
        for (int index = 0; index < m_settings.entries; ++index)
            sendDue(index);
    }
}

void quota_entries::askAt(int index, double tokensPerSecond)
{
    if (tokensPerSecond <= 0)
        return;
    for (const request_kind &kind : kinds) {
        const double mean = tokensPerSecond * kind.shareOfTokens / kind.tokens * inSeconds(step);
        std::poisson_distribution<int> arrivals(mean);
        for (int count = arrivals(m_random); count > 0; --count)
            ask(index, kind.tokens);
    }
}

void quota_entries::ask(int index, double tokens)
{
    quota_book &book = *m_entries.at(static_cast<std::size_t>(index)).book;
    quota_sample &sample = m_samples.back();
    sample.asked += tokens;
    if (!book.ask(m_now, organisationName, tokens).admitted) {
        ++sample.refusedRequests;
        return;
    }
    sample.admitted += tokens;
    if (book.reportSoon(m_now, organisationName))
        send(index);
}

void quota_entries::sendDue(int index)
{
    entry &sender = m_entries.at(static_cast<std::size_t>(index));
    if (sender.book && m_now >= sender.nextMessage)
        send(index);
}

void quota_entries::send(int index)
{
    entry &sender = m_entries.at(static_cast<std::size_t>(index));
    sender.nextMessage = m_now + messageInterval;
    const std::vector<quota_report> reports = sender.book->takeReports(m_now);
    for (int to = 0; to < m_settings.entries; ++to) {
        const bool passes = to != index
                && m_entries.at(static_cast<std::size_t>(to)).group == sender.group
                && draw() >= m_settings.lostShare;
        if (!passes)
            continue;
        ++m_messages;
        const bool late = draw() < m_settings.lateShare;
        const double delayMs = late ? 50 + draw() * static_cast<double>(m_settings.lateTime.count())
                                    : 5 + 45 * draw();
        m_inTransit.push_back({m_now
                                       + std::chrono::duration_cast<nanoseconds>(
                                               std::chrono::duration<double, std::milli>(delayMs)),
                               index, to, reports});
    }
}

void quota_entries::deliverDue()
{
    const auto pending = std::partition(m_inTransit.begin(), m_inTransit.end(),
                                        [&](const message &sent) { return sent.arrives > m_now; });
    for (auto due = pending; due != m_inTransit.end(); ++due) {
        entry &receiver = m_entries.at(static_cast<std::size_t>(due->to));
        if (!receiver.book)
            continue;
        const std::string from = "entry-" + std::to_string(due->from);
        receiver.book->heard(m_now, from);
        receiver.book->apply(m_now, from, due->reports);
    }
    m_inTransit.erase(pending, m_inTransit.end());
}

double quota_entries::greatestWindow(instant from) const
{
    double greatest = 0;
    double sum = 0;
    std::deque<const quota_sample *> window;
    for (const quota_sample &sample : m_samples) {
        if (sample.at < from)
            continue;
        window.push_back(&sample);
        sum += sample.admitted;
        while (sample.at - window.front()->at >= m_settings.tolerance.window) {
            sum -= window.front()->admitted;
            window.pop_front();
        }
        greatest = std::max(greatest, sum);
    }
    return greatest;
}

double quota_entries::admitted(instant from) const
{
    double sum = 0;
    for (const quota_sample &sample : m_samples)
        sum += sample.at >= from ? sample.admitted : 0;
    return sum;
}

double quota_entries::asked(instant from) const
{
    double sum = 0;
    for (const quota_sample &sample : m_samples)
        sum += sample.at >= from ? sample.asked : 0;
    return sum;
}

int quota_entries::refusedRequests(instant from) const
{
    int sum = 0;
    for (const quota_sample &sample : m_samples)
        sum += sample.at >= from ? sample.refusedRequests : 0;
    return sum;
}

double quota_entries::bound() const
{
    return bound(m_settings.quota);
}

double quota_entries::bound(const state::token_quota &quota) const
{
    const double ofWindow
            = quota.ratePerSecond * inSeconds(m_settings.tolerance.window) + quota.burst;
    return ofWindow * (1 + m_settings.tolerance.over) + m_settings.tolerance.slack;
}

} // namespace yuccascale::fakes
