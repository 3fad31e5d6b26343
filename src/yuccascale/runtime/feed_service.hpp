#pragma once

#include "yuccascale/kernel/feed/feed_state.hpp"
#include "yuccascale/kernel/transport.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// \file
/// \brief Keeps the confirmed revision of this node up to date and passes it on to others.

namespace yuccascale::runtime {

/// \brief What a control node knows beyond the feed; absent on nodes without the control role.
class control_authority
{
public:
    virtual ~control_authority() = default;

    /// \returns the leader's name as far as known; empty when there is none.
    [[nodiscard]] virtual std::string leader() const = 0;

    /// \brief Reads the state machine after a quorum has confirmed this node as leader.
    /// \returns error_kind::NotLeader when this node is not the leader.
    [[nodiscard]] virtual kernel::result<kernel::feed::leader_reading>
    confirmedReading(kernel::instant deadline) = 0;
};

/// \brief Runs the feed of one node. Thread-safe.
class feed_service
{
public:
    /// \param incarnation of this process; rises with each restart of a node
    /// \param authority null on nodes without the control role
    feed_service(const settings &settings, kernel::clock &clock, kernel::transport &transport,
                 kernel::event_sink &events, std::uint64_t incarnation,
                 control_authority *authority);
    ~feed_service();
    feed_service(const feed_service &) = delete;
    feed_service &operator=(const feed_service &) = delete;

    /// \brief Starts to ask; after the transport was started.
    void start();
    void stop();

    /// \returns what is in force here.
    [[nodiscard]] kernel::control_view view() const;

    /// \returns entries that callers should not be sent to.
    [[nodiscard]] std::vector<std::string> unavailable() const;

    /// \returns the last report of each node that asks here, with its age.
    [[nodiscard]] std::vector<kernel::feed::node_report> nodeReports() const;

    /// \brief Asks at once instead of at the next interval.
    void wake();

    /// \brief Tells the others that this node is shutting down.
    void setLeaving();

private:
    void askLoop();
    void askOnce();
    [[nodiscard]] bool readOwn(kernel::instant askedAt);
    void askPeer(kernel::instant askedAt);
    [[nodiscard]] std::string target();
    [[nodiscard]] std::string answer(std::string_view peer, std::string_view payload);
    [[nodiscard]] kernel::feed::node_report selfReport() const;
    void announce(bool newer);

    const settings &m_settings;
    kernel::clock &m_clock;
    kernel::transport &m_transport;
    kernel::event_sink &m_events;
    control_authority *m_authority;
    std::vector<std::string> m_controlNodes; ///< those in this availability zone first
    std::size_t m_target = 0;
    std::uint64_t m_asks = 0;
    std::uint64_t m_incarnation;

    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    kernel::feed::feed_state m_state;
    bool m_wanted = false;
    bool m_stopped = false;
    bool m_leaving = false;
    std::thread m_thread;
};

} // namespace yuccascale::runtime
