#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/consensus/replica.hpp"
#include "yuccascale/kernel/error.hpp"
#include "yuccascale/kernel/events.hpp"
#include "yuccascale/kernel/leadership.hpp"
#include "yuccascale/kernel/transport.hpp"
#include "yuccascale/runtime/log_inbox.hpp"
#include "yuccascale/runtime/log_request.hpp"
#include "yuccascale/runtime/log_status.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// \file
/// \brief The replicated log of a control node: one thread drives the consensus replica, its store
///        and its messages.

namespace yuccascale::store {
class replica_store;
}

namespace yuccascale::runtime {

/// \brief The state machine that consumes the log. All calls come from one thread, in log order.
class log_consumer
{
public:
    virtual ~log_consumer() = default;

    /// \brief Applies the committed command at \a index.
    /// \returns the answer for the proposer.
    [[nodiscard]] virtual std::string apply(std::uint64_t index, std::string_view payload) = 0;

    /// \returns the whole state after the last applied command.
    [[nodiscard]] virtual std::string snapshot() = 0;

    /// \brief Replaces the state with one that snapshot() returned.
    [[nodiscard]] virtual kernel::result<void> restore(std::string_view bytes) = 0;

    /// \brief Tells that another replica leads, or this one does.
    virtual void leaderChanged() { }
};

/// \brief Settings of a replicated log.
struct replicated_log_settings
{
    std::string self;                ///< name of this replica, usually its link address
    std::vector<std::string> voters; ///< the replicas that bootstrap an empty log
    std::string dataFolder;
    control_settings control;
    bool firstStart = true; ///< the voters may bootstrap an empty log
};

/// \brief A replica of the log with its store and links.
///
/// The first start of a cluster needs all voters: the log is bootstrapped once each of them has
/// reported an empty log. A node that starts with an empty data folder later joins as a learner,
/// copies the log, and becomes a voter again once the others have committed its promotion.
///
/// \example
///     replicated_log log(settings, transport, clock, events, consumer);
///     BOOST_LEAF_CHECK(log.start());
///     BOOST_LEAF_AUTO(answer, log.propose(command, clock.now() + 2s));
class replicated_log final : public kernel::leadership_source
{
public:
    /// \brief Registers its handler with \a transport, which must be started after this and stopped
    ///        before the log is destroyed.
    replicated_log(replicated_log_settings settings, kernel::transport &transport,
                   kernel::clock &clock, kernel::event_sink &events, log_consumer &consumer);
    ~replicated_log() override;
    replicated_log(const replicated_log &) = delete;
    replicated_log &operator=(const replicated_log &) = delete;

    /// \brief Opens the data folder, restores the consumer and starts the thread.
    /// \returns the store's error (see store::replica_store::open()).
    [[nodiscard]] kernel::result<void> start();

    /// \brief Ends the thread; proposals that await commit fail with error_kind::OutcomeUnknown.
    void stop();

    /// \brief Commits a command; only on the leader.
    /// \param commandFormat the lowest format that all members must apply to decide alike
    /// \returns the consumer's answer once it is committed and applied here;
    ///          error_kind::NotLeader with the leader's name in error::where;
    ///          error_kind::Unavailable or error_kind::Overloaded when it is certainly not in the
    ///          log;
    ///          error_kind::OutcomeUnknown when it may be committed later.
    [[nodiscard]] kernel::result<std::string> propose(std::string payload, kernel::instant deadline,
                                                      std::uint32_t commandFormat = 0);

    /// \brief As propose(), but passes the outcome to \a done, once, on this thread or the log's.
    ///        After \a deadline the command is not begun; one that was begun is answered when its
    ///        outcome is known.
    void proposeLater(std::string payload, kernel::instant deadline, log_request::completion done,
                      std::uint32_t commandFormat = 0);

    /// \brief Confirms that this node is the leader with a quorum that is contacted after this call
    ///        began, and waits until everything committed by then is applied here.
    ///
    /// \returns error_kind::NotLeader or error_kind::Unavailable.
    [[nodiscard]] kernel::result<void> confirmLeadership(kernel::instant deadline);

    /// \returns the name of the last known leader; may be empty.
    [[nodiscard]] std::string leader() const;

    [[nodiscard]] std::optional<kernel::leadership> current(kernel::instant now) const override;

    [[nodiscard]] replicated_log_status status() const;

private:
    [[nodiscard]] kernel::result<void> addProposal(const log_request_pointer &request,
                                                   std::size_t payloadBytes);
    void receive(std::string_view peer, std::string_view payload);
    [[nodiscard]] kernel::result<void> openStore();
    [[nodiscard]] kernel::result<void> openOrRejoin(std::uint64_t incarnation);
    void run();
    [[nodiscard]] std::string runUntilFailure();
    [[nodiscard]] bool waitToReopen();
    void handle(const log_inbox::content &input);
    void handleProposal(const log_request_pointer &proposal);
    void handleRead(const log_request_pointer &read, kernel::instant now);
    [[nodiscard]] kernel::result<bool> executeActions();
    [[nodiscard]] kernel::result<void> persist(const kernel::consensus::actions &batch);
    void send(const std::vector<kernel::consensus::message> &messages);
    void apply(const kernel::consensus::log_entry &entry);
    [[nodiscard]] kernel::result<void> install(const kernel::consensus::snapshot_data &snapshot);
    void finishReads(const std::vector<kernel::consensus::confirmed_read> &reads);
    void startFrom(std::uint64_t index, std::uint64_t snapshotBytes) noexcept;
    [[nodiscard]] bool snapshotIsDue() const noexcept;
    [[nodiscard]] std::uint64_t firstTrailingEntry() const;
    [[nodiscard]] kernel::result<void> saveSnapshotWhenDue();
    void revokeLostLeadership();
    void publishStatus();
    void failPendingRequests(const std::string &reason);
    [[nodiscard]] kernel::error notLeader() const;

    replicated_log_settings m_settings;
    kernel::transport &m_transport;
    kernel::clock &m_clock;
    kernel::event_sink &m_events;
    log_consumer &m_consumer;

    log_inbox m_inbox;
    std::string m_initialState; ///< snapshot of the consumer before the first entry

    // used only by the thread
    std::unique_ptr<store::replica_store> m_store;
    std::unique_ptr<kernel::consensus::replica> m_replica;
    pending_proposals m_pendingProposals;
    std::map<std::uint64_t, log_request_pointer> m_pendingReads;
    std::uint64_t m_nextRead = 1;
    std::uint64_t m_applied = 0;
    std::uint64_t m_snapshotIndex = 0;
    std::uint64_t m_snapshotBytes = 0;
    std::uint64_t m_bytesSinceSnapshot = 0; ///< of the commands applied since
    std::string m_leaderTold;               ///< last one that the consumer was told of

    published_log_status m_published;

    std::thread m_thread;
};

} // namespace yuccascale::runtime
