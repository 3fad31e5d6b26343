#pragma once

#include "yuccascale/kernel/requests/endpoint_driver.hpp"
#include "yuccascale/kernel/requests/request_session.hpp"
#include "yuccascale/kernel/requests/usage_batcher.hpp"
#include "yuccascale/kernel/state/machine.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Simulates entries, endpoints, callers and a log in one thread under scheduled faults.
///
/// The code under test makes the decisions: request_session, pool_scheduler, the drivers' readers,
/// the usage batches and the state machine. Time, network and endpoints are simulated.

namespace yuccascale::fakes {

namespace requests = kernel::requests;
using kernel::instant;
using kernel::milliseconds;
using kernel::nanoseconds;

/// \brief How a simulated endpoint handles one request.
enum class endpoint_behaviour {
    Complete,
    NotRun,
    BreakConnection,
    AnswerOtherRequest,
    EndEarly,
    NeverEnd,
    RepeatPiece,
    SkipPiece,
    Crash
};

/// \brief A fault to inject at a given time.
struct fault
{
    enum class kind { KillEntry, PauseEntry, CutEntry, CrashEndpoint, LoseZone, AnnounceLeaving };
    kind type = kind::KillEntry;
    int timeMs = 0;
    int target = 0; ///< index of the entry, endpoint or zone, taken modulo their count
    int durationMs = 0;
};

/// \brief Size, load and faults of one simulation.
struct simulation_plan
{
    std::uint64_t seed = 1;
    int entries = 3;
    int engines = 6;
    int services = 3;
    int submissions = 60;
    int organisations = 2;
    int submissionPeriodMs = 2'000; ///< period over which the submissions start
    double misbehaviourShare = 0.2; ///< share of requests that an endpoint does not handle normally
    double lostCommitShare = 0.1;   ///< probability that a commit or its answer is lost
    double nonIdempotentShare = 0.4; ///< share of the submissions
    int poisonRequests = 0;          ///< number of requests that crash their engine
    int keyWithdrawalMs = 0;         ///< when the key of org-0 is withdrawn; 0: never
    std::vector<fault> faults;
};

/// \brief A request that an endpoint ran.
struct endpoint_run
{
    instant startedAt{};
    std::string endpoint;
    std::string endpointId;
    std::string idempotencyKey;
    std::string body;
    std::string organisation; ///< of the submission; not visible to the endpoint
};

/// \brief One request sent by a caller to an entry, with its result.
struct caller_send
{
    std::string endpointId;
    int submissionNumber = 0;
    instant sentAt{};
    instant deadline{};
    bool entryFailed = false;
    bool refused = false;
    requests::refusal refusal;
    instant endedAt{};
    bool ended = false;
    const void *receivedBy = nullptr; ///< the entry; only compared, never dereferenced
    instant lastByteAt{};             ///< arrival of the latest byte; later bytes never overtake it
};

/// \brief A request that a caller sends until it is answered, and what it received.
struct caller_submission
{
    int number = 0;
    bool idempotent = true;
    bool poison = false;
    std::string organisation;
    std::string idempotencyKey;
    std::string body;
    std::vector<std::string> pieces; ///< payloads received so far
    bool complete = false;           ///< the finish piece or the complete answer was received
    std::string answer;
    int sendCount = 0;
};

/// \brief Runs a plan and records what endpoints ran and callers received.
class requests_simulation
{
public:
    explicit requests_simulation(simulation_plan plan);
    ~requests_simulation();
    requests_simulation(const requests_simulation &) = delete;
    requests_simulation &operator=(const requests_simulation &) = delete;

    /// \brief Runs until no scheduled event is left.
    void runToEnd();

    /// \returns a description of each violation.
    [[nodiscard]] std::vector<std::string> violations() const;

    [[nodiscard]] const std::vector<endpoint_run> &runs() const { return m_runs; }
    [[nodiscard]] const std::vector<caller_submission> &submissions() const
    {
        return m_submissions;
    }
    [[nodiscard]] const std::vector<caller_send> &sends() const { return m_sends; }
    [[nodiscard]] const std::vector<instant> &poisonCrashes() const { return m_poisonCrashes; }

private:
    class entry;
    struct session;
    struct endpoint_model;
    struct connection;
    friend class entry;

    using callback = std::function<void()>;

    void scheduleAt(instant when, callback action);
    void scheduleAfter(nanoseconds delay, callback action)
    {
        scheduleAt(m_now + delay, std::move(action));
    }
    [[nodiscard]] bool chance(double share);
    [[nodiscard]] int draw(int low, int high);
    /// \returns the arrival time of the next bytes of a connection, not before the previous ones.
    [[nodiscard]] instant nextArrival(instant &lastByteAt)
    {
        lastByteAt = std::max(lastByteAt, m_now + networkDelay());
        return lastByteAt;
    }
    [[nodiscard]] kernel::wall_time wallNow() const
    {
        return kernel::wall_time(
                std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()));
    }
    [[nodiscard]] milliseconds networkDelay() { return milliseconds(draw(1, 3)); }

    void buildTables();
    void scheduleSubmissions();
    void scheduleFaults();
    void injectFault(const fault &injected);
    void submit(int number);
    void sendTo(int number, std::size_t entryIndex);
    void handleOutput(std::size_t send, const requests::caller_output &output);
    void handleEntryFailure(std::size_t send);
    void resubmitAfter(int number, milliseconds wait);

    void commit(const kernel::state::command &command, bool cutOff,
                const std::function<void(kernel::result<kernel::state::command_result>)> &reply);

    endpoint_model &findEndpoint(const std::string &name);
    void handleArrival(const std::shared_ptr<connection> &link);
    void runRequest(const std::shared_ptr<connection> &link, endpoint_behaviour behaviour);
    void streamAnswer(const std::shared_ptr<connection> &link, endpoint_behaviour behaviour);
    void deliverBytes(const std::shared_ptr<connection> &link, std::string bytes);
    void endAnswer(const std::shared_ptr<connection> &link);
    void failConnection(const std::shared_ptr<connection> &link, requests::attempt_failure failure);
    void crashEndpoint(endpoint_model &endpoint, milliseconds down);

    void checkRuns(std::vector<std::string> &out) const;
    void checkSends(std::vector<std::string> &out) const;
    void checkAnswers(std::vector<std::string> &out) const;

    simulation_plan m_plan;
    std::mt19937_64 m_random;
    instant m_now{};
    std::multimap<instant, callback> m_schedule;
    kernel::state::machine m_log;
    std::uint64_t m_lastIndex = 0;
    std::unique_ptr<requests::endpoint_driver> m_engineDriver;
    std::unique_ptr<requests::endpoint_driver> m_serviceDriver;
    std::vector<std::unique_ptr<entry>> m_entries;
    std::vector<std::unique_ptr<entry>> m_deadEntries;
    std::map<std::string, std::unique_ptr<endpoint_model>> m_endpoints;
    std::vector<endpoint_run> m_runs;
    std::vector<caller_submission> m_submissions;
    std::vector<caller_send> m_sends;
    std::map<std::string, instant> m_leaveNoticeAt;
    std::vector<std::string> m_violations;
    std::uint64_t m_answersCounted = 0;
    std::uint64_t m_answersReleased = 0;
    std::vector<instant> m_poisonCrashes;
    instant m_keyWithdrawnAt = instant::max();
};

} // namespace yuccascale::fakes
