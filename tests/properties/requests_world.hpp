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
/// \brief Entries, endpoints, callers and a log in one thread, under schedules of failures.
///
/// The decisions are the real ones: request_session, pool_scheduler, the drivers' readers, the
/// usage batches and the state machine. Time, network and endpoints are played here.

namespace yuccascale::fakes {

namespace requests = kernel::requests;
using kernel::instant;
using kernel::milliseconds;
using kernel::nanoseconds;

/// \brief Ways in which an endpoint treats one request.
enum class treatment { Whole, NotRun, BreakOff, Crossed, Short, Late, Doubled, Gap, Crash };

/// \brief A failure at a time.
struct fault
{
    enum class kind { KillEntry, PauseEntry, CutEntry, CrashEndpoint, LoseZone, Leave };
    kind what = kind::KillEntry;
    int atMs = 0;
    int target = 0; ///< number of the entry, endpoint or zone
    int lengthMs = 0;
};

/// \brief What a world is made of.
struct world_plan
{
    std::uint64_t seed = 1;
    int entries = 3;
    int engines = 6;
    int services = 3;
    int submissions = 60;
    int organisations = 2;
    int spreadMs = 2'000;       ///< submissions come within this
    double badTreatment = 0.2;  ///< share of requests that an endpoint treats badly
    double lostCommits = 0.1;   ///< share of commits or answers to them that get lost
    double nonIdempotent = 0.4; ///< share of the submissions
    int poisons = 0;            ///< requests that crash engines
    int withdrawKeyAtMs = 0;    ///< 0: never
    std::vector<fault> faults;
};

/// \brief A run at an endpoint, as the endpoint saw it.
struct endpoint_run
{
    instant at{};
    std::string endpoint;
    std::string endpointId;
    std::string idempotencyKey;
    std::string body;
    std::string organisation; ///< of the submission; the endpoint does not see it
};

/// \brief What a caller saw of one of its sends to an entry.
struct caller_send
{
    std::string endpointId;
    int submission = 0;
    instant sentAt{};
    instant deadline{};
    bool entryDied = false;
    bool refused = false;
    requests::refusal refusal;
    instant endedAt{};
    bool ended = false;
    const void *entry = nullptr; ///< that received it
    instant lastByteAt{};        ///< bytes of one connection keep their order
};

/// \brief What a caller wants.
struct caller_submission
{
    int number = 0;
    bool idempotent = true;
    bool poison = false;
    std::string organisation;
    std::string idempotencyKey;
    std::string body;
    std::vector<std::string> pieces; ///< payloads received so far
    bool whole = false;              ///< the finish piece or the whole answer came
    std::string answer;
    int sends = 0;
};

/// \brief Plays a plan and keeps what endpoints and callers saw.
class requests_world
{
public:
    explicit requests_world(world_plan plan);
    ~requests_world();
    requests_world(const requests_world &) = delete;
    requests_world &operator=(const requests_world &) = delete;

    /// \brief Plays until nothing happens any more.
    void play();

    /// \returns each breach of a promise, in words.
    [[nodiscard]] std::vector<std::string> breaches() const;

    [[nodiscard]] const std::vector<endpoint_run> &runs() const { return m_runs; }
    [[nodiscard]] const std::vector<caller_submission> &submissions() const { return m_wanted; }
    [[nodiscard]] const std::vector<caller_send> &sends() const { return m_sends; }
    [[nodiscard]] const std::vector<instant> &poisonCrashes() const { return m_poisonCrashes; }

private:
    class entry;
    struct session;
    struct endpoint_model;
    struct connection;
    friend class entry;

    using work = std::function<void()>;

    void at(instant when, work what);
    void after(nanoseconds delay, work what) { at(m_now + delay, std::move(what)); }
    [[nodiscard]] bool chance(double share);
    [[nodiscard]] int draw(int low, int high);
    /// \returns when bytes arrive that follow others on a connection.
    [[nodiscard]] instant inOrder(instant &lastByteAt)
    {
        lastByteAt = std::max(lastByteAt, m_now + hop());
        return lastByteAt;
    }
    [[nodiscard]] kernel::wall_time wallNow() const
    {
        return kernel::wall_time(
                std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()));
    }
    [[nodiscard]] milliseconds hop() { return milliseconds(draw(1, 3)); }

    void buildTables();
    void planCallers();
    void planFaults();
    void apply(const fault &happens);
    void submit(int number);
    void sendTo(int number, std::size_t entryIndex);
    void received(std::size_t send, const requests::caller_output &output);
    void entryDied(std::size_t send);
    void submitAgain(int number, milliseconds later);

    void commit(const kernel::state::command &command, bool cut,
                const std::function<void(kernel::result<kernel::state::command_result>)> &reply);

    endpoint_model &endpointNamed(const std::string &name);
    void arrive(const std::shared_ptr<connection> &link);
    void run(const std::shared_ptr<connection> &link, treatment how);
    void stream(const std::shared_ptr<connection> &link, treatment how);
    void deliver(const std::shared_ptr<connection> &link, std::string bytes);
    void endAnswer(const std::shared_ptr<connection> &link);
    void failLink(const std::shared_ptr<connection> &link, requests::attempt_failure how);
    void crash(endpoint_model &endpoint, milliseconds down);

    void checkRuns(std::vector<std::string> &out) const;
    void checkSends(std::vector<std::string> &out) const;
    void checkAnswers(std::vector<std::string> &out) const;

    world_plan m_plan;
    std::mt19937_64 m_random;
    instant m_now{};
    std::multimap<instant, work> m_events;
    kernel::state::machine m_log;
    std::uint64_t m_index = 0;
    std::unique_ptr<requests::endpoint_driver> m_engineDriver;
    std::unique_ptr<requests::endpoint_driver> m_serviceDriver;
    std::vector<std::unique_ptr<entry>> m_entries;
    std::vector<std::unique_ptr<entry>> m_deadEntries;
    std::map<std::string, std::unique_ptr<endpoint_model>> m_endpoints;
    std::vector<endpoint_run> m_runs;
    std::vector<caller_submission> m_wanted;
    std::vector<caller_send> m_sends;
    std::map<std::string, instant> m_noticeAt;
    std::vector<std::string> m_breaches;
    std::uint64_t m_usageApplied = 0;
    std::uint64_t m_answersReleased = 0;
    std::vector<instant> m_poisonCrashes;
    instant m_keyWithdrawnAt = instant::max();
};

} // namespace yuccascale::fakes
