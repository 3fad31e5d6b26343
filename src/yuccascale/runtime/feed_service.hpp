#pragma once

#include "yuccascale/kernel/feed/feed_state.hpp"
#include "yuccascale/kernel/feed/list_search.hpp"
#include "yuccascale/kernel/feed/list_times.hpp"
#include "yuccascale/kernel/feed/poll_times.hpp"
#include "yuccascale/kernel/feed/relay_choice.hpp"
#include "yuccascale/kernel/transport.hpp"
#include "yuccascale/runtime/edit_answers.hpp"
#include "yuccascale/runtime/settings.hpp"
#include "yuccascale/runtime/worker_pool.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// \file
/// \brief Keeps the tables of this node up to date with the leader and serves them to other nodes.

namespace yuccascale::runtime {

/// \brief Reads the state of this control node's replica; absent on nodes without the control role.
class leader_state_reader
{
public:
    virtual ~leader_state_reader() = default;

    /// \returns the leader's link address; empty when no leader is known.
    [[nodiscard]] virtual std::string leader() const = 0;

    /// \brief Reads the state machine after a quorum has confirmed this node as leader.
    /// \returns error_kind::NotLeader when this node is not the leader.
    [[nodiscard]] virtual kernel::result<kernel::feed::confirmed_state>
    confirmedReading(kernel::instant deadline) = 0;

    /// \returns since when this node leads, while it certainly does: what an earlier leader read
    /// was
    ///          confirmed before.
    [[nodiscard]] virtual std::optional<kernel::instant> leadingSince(kernel::instant now) const
    {
        static_cast<void>(now);
        return {};
    }
};

/// \brief What a node has sent in its replies to the polls of other nodes.
struct feed_load
{
    std::uint64_t replies = 0;
    std::uint64_t repliesWithTables = 0; ///< replies that held edits or full tables
    std::uint64_t tablesEncoded = 0;     ///< edits and full tables that were encoded for them
    std::uint64_t bytes = 0;
    std::uint64_t wholeEndpointLists = 0;
    std::uint64_t endpointChanges = 0; ///< replies that held changes in place of the list
    std::uint64_t wholeNodeLists = 0;
    std::uint64_t nodeChanges = 0; ///< replies that held changes in place of the list
};

/// \brief Runs the feed of one node. Thread-safe.
///
/// A poll of a silent node holds nothing up: another node is asked as well, a notification is
/// followed at once, and a node that becomes the leader reads its own state.
class feed_service
{
public:
    /// \param incarnation of this process; increases with each restart of the node
    /// \param leaderState null on nodes without the control role
    /// \param workers for polls; null: threads of its own
    feed_service(const settings &settings, kernel::clock &clock, kernel::transport &transport,
                 kernel::event_sink &events, std::uint64_t incarnation,
                 leader_state_reader *leaderState,
                 std::shared_ptr<worker_threads> workers = nullptr);
    ~feed_service();
    feed_service(const feed_service &) = delete;
    feed_service &operator=(const feed_service &) = delete;

    /// \brief Starts polling; the transport must have been started.
    void start();
    void stop();

    /// \returns the tables and endpoints in force on this node.
    [[nodiscard]] kernel::control_view view() const;

    /// \returns the running nodes that are not leaving, as last reported to this node.
    [[nodiscard]] std::vector<kernel::feed::node_report> nodes() const;

    /// \returns link addresses of the control nodes, those of this availability zone first, and of
    ///          the seeds.
    [[nodiscard]] std::vector<std::string> controlNodes() const;

    /// \returns the cluster's agreed wall time; this VM's wall clock before one was received.
    [[nodiscard]] kernel::wall_time agreedTime() const;

    /// \brief Installs the endpoint list that this node has read from the platform.
    void setEndpoints(kernel::feed::endpoint_reading reading);

    /// \brief Sets the function that is called, on any thread, after each answer and each round of
    /// polls;
    ///        must be called before start().
    void setListener(std::function<void()> listener) { m_listener = std::move(listener); }

    /// \brief Replaces the seeds.
    void setSeeds(std::vector<std::string> seeds);

    /// \returns the last report of each node that polls this one, with its age, and of this node.
    [[nodiscard]] std::vector<kernel::feed::node_report> nodeReports() const;

    /// \returns what this node has sent since it was started.
    [[nodiscard]] feed_load load() const;

    /// \brief Polls at once instead of at the next interval.
    void pollSoon();

    /// \brief Polls until what is in force was confirmed after \a since.
    /// \returns false when that did not happen within \a limit.
    [[nodiscard]] bool waitConfirmed(kernel::instant since, kernel::milliseconds limit);

    /// \brief Answers a committed edit once no node can use older tables for longer than promised.
    /// \param revision of the tables with the edit
    /// \param document version of the operator's document that the edit is, or 0
    /// \param deadline the answer is given up then
    void answerWhenSettled(std::uint64_t revision, std::uint64_t document, kernel::instant deadline,
                           std::function<void(bool settled)> answer);

    /// \brief Gives up the answers to edits that are not settled by \a end, since the process ends.
    void answerEditsBefore(kernel::instant end) { m_editAnswers.answerBefore(end); }

    /// \brief Polls the control nodes in turn until one that is up to date answers; while one is
    /// silent, the next is asked beside it. Called by the feed's thread at each interval, and by
    /// tests.
    void pollRound();

    /// \brief Reports to the other nodes that this one is shutting down.
    void setLeaving();

    /// \brief Reports to the other nodes whether this one reaches no endpoint.
    void setEndpointsLost(bool lost);

private:
    /// A poll that was begun; guarded by m_mutex.
    struct begun_poll
    {
        std::string peer;
        bool listOnly = false; ///< of the answer, only the list of endpoints is wanted
        bool ended = false;
        bool upToDate = false; ///< once it has ended
    };

    /// What came of a poll.
    enum class poll_outcome { UpToDate, Behind, Unanswered };

    void pollLoop();
    [[nodiscard]] kernel::milliseconds pollInterval() const;
    [[nodiscard]] kernel::milliseconds settlingPollInterval() const;
    [[nodiscard]] bool isLeader() const;
    [[nodiscard]] bool readLocalLeader();
    [[nodiscard]] std::shared_ptr<begun_poll> beginPoll(const std::string &peer,
                                                        bool listOnly = false);
    void askForList(const std::set<std::string> &tried);
    void recordListAge();
    [[nodiscard]] bool awaitPoll(const begun_poll &begun);
    void runPoll(const std::shared_ptr<begun_poll> &begun);
    [[nodiscard]] poll_outcome judge(const kernel::feed::feed_reply &reply) const;
    [[nodiscard]] bool editsWait() const { return m_editAnswers.newest().has_value(); }
    [[nodiscard]] std::uint64_t settledRevision();
    [[nodiscard]] std::string slowestNode();
    [[nodiscard]] std::optional<kernel::instant> leadingSince(kernel::instant now) const;
    void reportTo(const std::string &peer);
    void reportSoon();
    void waitForNextPoll(std::unique_lock<std::mutex> &lock);
    void recordOutcome(const std::string &peer, poll_outcome outcome, kernel::nanoseconds took,
                       kernel::nanoseconds lag);
    [[nodiscard]] std::string selectTarget(const std::set<std::string> &tried);
    [[nodiscard]] bool mayAsk(const std::string &node, const std::set<std::string> &tried) const;
    [[nodiscard]] bool isNotified() const;
    void tellListener();
    [[nodiscard]] std::vector<std::string> knownControlNodes() const;
    [[nodiscard]] std::string handleRequest(std::string_view peer, std::string_view payload);
    [[nodiscard]] kernel::feed::node_report selfReport() const;
    void notifyPeers(bool newer);
    void countReply(const kernel::feed::feed_reply &reply, std::size_t unencoded,
                    std::size_t bytes);
    void recordLoad();

    const settings &m_settings;
    kernel::clock &m_clock;
    kernel::transport &m_transport;
    kernel::event_sink &m_events;
    leader_state_reader *m_leaderState;
    std::vector<std::string> m_seeds;
    std::function<void()> m_listener;
    kernel::feed::poll_times m_times;
    kernel::feed::list_times m_listTimes;
    std::uint64_t m_incarnation;

    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    kernel::feed::feed_state m_state;
    kernel::feed::relay_choice m_relays;
    kernel::feed::list_search m_listSearch;
    bool m_listOld = false; ///< the list was older than promised after the last round
    std::map<std::string, std::shared_ptr<begun_poll>> m_polls; ///< that have not ended, by node
    std::map<std::string, poll_outcome> m_outcomes;             ///< of the last poll, by node
    kernel::instant m_reportAt = kernel::instant::max();        ///< when to report beside the polls
    std::string m_reportPeer; ///< the node that last answered a poll of this one
    std::string m_notifier;   ///< node that holds a newer revision and was not asked since
    feed_load m_load;
    feed_load m_recordedLoad; ///< as of the last feed_load event
    kernel::instant m_loadRecordedAt{};
    std::condition_variable m_polled; ///< a round of polls has ended
    int m_confirmationsAwaited = 0;   ///< calls of waitConfirmed() that wait
    bool m_pollRequested = false;
    bool m_stopped = false;
    bool m_leaving = false;
    bool m_endpointsLost = false;
    edit_answers m_editAnswers;
    std::thread m_thread;
    worker_pool m_pollers; ///< the last member, since its threads use the others
};

} // namespace yuccascale::runtime
