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
class leader_state_reader
{
public:
    virtual ~leader_state_reader() = default;

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
                 leader_state_reader *leaderState);
    ~feed_service();
    feed_service(const feed_service &) = delete;
    feed_service &operator=(const feed_service &) = delete;

    /// \brief Starts to ask; after the transport was started.
    void start();
    void stop();

    /// \returns what is in force here.
    [[nodiscard]] kernel::control_view view() const;

    /// \returns the nodes that run and are not leaving, as far as known here.
    [[nodiscard]] std::vector<kernel::feed::node_report> nodes() const;

    /// \returns link addresses of the control nodes, those of this availability zone first, and of
    ///          the seeds.
    [[nodiscard]] std::vector<std::string> controlNodes() const;

    /// \returns the time that the nodes agree on; this VM's wall clock before they have.
    [[nodiscard]] kernel::wall_time agreedTime() const;

    /// \brief Takes in the endpoints that this node, as leader, has read from the platform.
    /// \param fence of the leader
    void setEndpoints(std::uint64_t fence,
                      const std::vector<kernel::feed::listed_endpoint> &endpoints);

    /// \brief Sets what runs, on the feed's thread, after something newer came; before start().
    void setListener(std::function<void()> listener) { m_listener = std::move(listener); }

    /// \brief Takes over other seeds.
    void setSeeds(std::vector<std::string> seeds);

    /// \returns the last report of each node that asks here, with its age.
    [[nodiscard]] std::vector<kernel::feed::node_report> nodeReports() const;

    /// \brief Asks at once instead of at the next interval.
    void pollSoon();

    /// \brief Asks once now: each control node in turn until one answers that is up to date. The
    /// thread does it at each interval.
    void pollRound();

    /// \brief Tells the others that this node is shutting down.
    void setLeaving();

private:
    void pollLoop();
    [[nodiscard]] bool pollOnce();
    void switchTargetFrom(const std::string &peer);
    [[nodiscard]] bool readLocalLeader(kernel::instant sentAt);
    [[nodiscard]] bool pollPeer(kernel::instant sentAt);
    [[nodiscard]] std::string selectTarget();
    [[nodiscard]] std::vector<std::string> knownControlNodes() const;
    [[nodiscard]] std::string handleRequest(std::string_view peer, std::string_view payload);
    [[nodiscard]] kernel::feed::node_report selfReport() const;
    void notifyPeers(bool newer);

    const settings &m_settings;
    kernel::clock &m_clock;
    kernel::transport &m_transport;
    kernel::event_sink &m_events;
    leader_state_reader *m_leaderState;
    std::vector<std::string> m_seeds;
    std::function<void()> m_listener;
    std::string m_target; ///< control node that is asked; empty before the first
    std::uint64_t m_incarnation;

    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    kernel::feed::feed_state m_state;
    bool m_pollRequested = false;
    bool m_stopped = false;
    bool m_leaving = false;
    std::thread m_thread;
};

} // namespace yuccascale::runtime
