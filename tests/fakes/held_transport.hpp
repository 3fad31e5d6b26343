#pragma once

#include "yuccascale/kernel/feed/feed_state.hpp"
#include "yuccascale/kernel/transport.hpp"
#include "yuccascale/wire/feed_codec.hpp"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Control nodes whose replies to polls of the feed a test holds back.

namespace yuccascale::fakes {

/// \brief Answers polls from the last reading installed on each node. Thread-safe.
class held_transport final : public kernel::transport
{
public:
    /// \param freshness of every node's tables
    explicit held_transport(kernel::nanoseconds freshness)
        : m_freshness(freshness)
    { }

    void handle(kernel::channel, handler handler) override { ownHandler = std::move(handler); }
    void post(std::string_view, kernel::channel, std::string) override { }

    [[nodiscard]] kernel::result<std::string>
    call(std::string_view node, kernel::channel, std::string payload, kernel::call_timeout) override
    {
        BOOST_LEAF_AUTO(request, wire::decodeFeedRequest(payload));
        std::unique_lock lock(m_mutex);
        const std::string name(node);
        m_calls.push_back(name);
        m_changed.notify_all();
        m_changed.wait(lock, [&] { return m_ended || !m_held.contains(name); });
        const auto found = m_states.find(name);
        if (found == m_states.end() || m_held.contains(name))
            return kernel::fail(kernel::error_kind::OutcomeUnknown, name, "no reply in time");
        return wire::encodeFeedReply(found->second.answer(m_now, "entry", request));
    }

    /// \brief Holds the replies of a node back until release().
    void hold(const std::string &node)
    {
        const std::lock_guard lock(m_mutex);
        m_held.insert(node);
    }

    /// \brief Lets the node answer, polls that wait included.
    void release(const std::string &node)
    {
        const std::lock_guard lock(m_mutex);
        m_held.erase(node);
        m_changed.notify_all();
    }

    /// \brief Ends all calls that wait, unanswered.
    void end()
    {
        const std::lock_guard lock(m_mutex);
        m_ended = true;
        m_changed.notify_all();
    }

    /// \brief Installs a leader's reading on \a node at \a now.
    void install(const std::string &node, std::uint64_t revision, kernel::instant now)
    {
        const std::lock_guard lock(m_mutex);
        auto tables = std::make_shared<kernel::state::table_set>();
        tables->revision = revision;
        kernel::feed::node_report self;
        self.node = self.link = node;
        self.control = true;
        m_now = std::max(m_now, now);
        auto &state = m_states.try_emplace(node, m_freshness).first->second;
        static_cast<void>(state.installConfirmedState(now, now, {tables, 0, {}}, self));
    }

    /// \brief Installs a list of endpoints on \a node.
    void installEndpoints(const std::string &node, kernel::feed::endpoint_list list)
    {
        const std::lock_guard lock(m_mutex);
        m_states.try_emplace(node, m_freshness).first->second.installEndpoints(std::move(list));
    }

    /// \brief Installs a list of endpoints that \a node has read at the platform.
    void readEndpoints(const std::string &node, kernel::feed::endpoint_reading reading)
    {
        const std::lock_guard lock(m_mutex);
        auto &state = m_states.try_emplace(node, m_freshness).first->second;
        static_cast<void>(state.readEndpoints(std::move(reading)));
    }

    /// \brief Sets the time at which the nodes answer.
    void setNow(kernel::instant now)
    {
        const std::lock_guard lock(m_mutex);
        m_now = now;
    }

    /// \brief Waits until \a node was polled.
    /// \returns false when it was not within \a limit.
    [[nodiscard]] bool waitForCall(const std::string &node, kernel::milliseconds limit)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(
                lock, limit, [&] { return std::ranges::find(m_calls, node) != m_calls.end(); });
    }

    [[nodiscard]] std::vector<std::string> calls() const
    {
        const std::lock_guard lock(m_mutex);
        return m_calls;
    }

    handler ownHandler; ///< of the node under test

private:
    kernel::nanoseconds m_freshness;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, kernel::feed::feed_state> m_states;
    std::set<std::string> m_held;
    std::vector<std::string> m_calls;
    kernel::instant m_now{};
    bool m_ended = false;
};

} // namespace yuccascale::fakes
