#pragma once

#include "yuccascale/kernel/policy/endpoint_rates.hpp"
#include "yuccascale/kernel/policy/prefill_queue.hpp"
#include "yuccascale/kernel/policy/routing.hpp"
#include "yuccascale/kernel/requests/circuit_breaker.hpp"
#include "yuccascale/kernel/requests/endpoint_notice.hpp"
#include "yuccascale/kernel/requests/endpoint_standing.hpp"
#include "yuccascale/kernel/requests/placement.hpp"
#include "yuccascale/kernel/requests/shared_limit.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief State of a pool's endpoints as tracked by this entry.

namespace yuccascale::kernel::requests {

/// \brief A load report of an endpoint.
struct endpoint_report
{
    policy::load_report load;
    std::uint64_t incarnation = 0; ///< increases when the endpoint restarts; 0 when not reported
};

/// \brief Position of this entry among all entries, ordered by name.
struct entry_position
{
    int index = 0;
    int count = 1;
    /// The other entries know this one. One that starts or leaves is not counted by them.
    bool counted = true;
};

/// \brief Conditions that a request puts on its endpoint.
struct endpoint_requirements
{
    bool steadyOnly = false; ///< it may run longer than the notice before a cheap endpoint is
                             ///< reclaimed
    std::vector<std::string> avoidEndpoints;         ///< unless no other endpoint accepts work
    std::optional<std::string> softwareVersion = {}; ///< of its endpoint; nothing: any
};

/// \brief Work of one request, in tokens.
struct endpoint_work
{
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
};

/// \brief Learnt rate and pace of an endpoint, for operators.
struct learnt_endpoint
{
    std::string name;
    double prefillTokensPerSecond = 0; ///< at the usual pace; 0: not known
    double slowdown = 1;               ///< of other work, relative to the pool's endpoints
    double pace = 1;                   ///< expected now
    double averagePace = 1;
};

/// \brief Endpoints of one pool. Not thread-safe; its owner serialises calls.
class endpoint_table
{
public:
    /// \brief Replaces the pool's rows. An endpoint keeps its state while its address and start
    /// time are unchanged.
    void setRows(const state::pool &pool);

    /// \brief Sets how long after it was asked for the platform's list tells who is draining; 0:
    /// for ever.
    void setDrainNotice(nanoseconds notice) noexcept { m_drainNotice = notice; }

    /// \brief Sets whether reported paces take effect; otherwise they are ignored.
    void setPaceUsed(bool used) noexcept { m_paceUsed = used; }

    /// \brief Sets when the platform was asked for the list of endpoints; nothing: not known.
    void setListAskedAt(std::optional<instant> askedAt) noexcept { m_listAskedAt = askedAt; }

    /// \returns the time since the platform was asked for the list; nothing when that is not known,
    ///          or the pool's endpoints are not listed by the platform.
    [[nodiscard]] std::optional<nanoseconds> listAge(instant now) const noexcept;

    /// \returns whether the endpoint that was assigned may still be sent to.
    [[nodiscard]] endpoint_standing standing(const assigned_endpoint &assigned) const;

    /// \brief Sets the place of this entry among those that share the endpoints' limits.
    void setPosition(instant now, entry_position position);

    /// \brief Applies a load report, unless a newer one is known.
    /// \returns true when it is the first to announce that the endpoint is leaving.
    bool report(const std::string &endpoint, const endpoint_report &report);

    /// \brief Learns from a finished attempt, once an endpoint of the pool has reported a pace.
    /// \param sentAt a load report measured since then came with the answer
    void observe(instant now, instant sentAt, const policy::routing_outcome &outcome);

    /// \brief Applies what another entry learnt from an endpoint's answers.
    void applyRemoteRate(instant now, const endpoint_rate &rate);

    /// \returns what this entry learnt since the last call, to tell the other entries.
    /// \param pool name to write into the rows
    [[nodiscard]] std::vector<endpoint_rate> takeRates(instant now, const std::string &pool);

    /// \returns whether an endpoint of the pool has reported a pace that takes effect.
    [[nodiscard]] bool paced() const noexcept { return m_paced; }

    /// \returns the learnt rate and the pace of each endpoint; empty while none reports a pace.
    [[nodiscard]] std::vector<learnt_endpoint> learnt(instant now) const;

    /// \brief Applies what the endpoint asked in an answer to this entry.
    notice_effect applyNotice(instant now, const std::string &endpoint,
                              const endpoint_notice &notice);

    /// \returns the request limit to tell the other entries after an answer of the endpoint;
    ///          nothing when there is none or they know it.
    [[nodiscard]] std::optional<double> takeLimitToAnnounce(instant now,
                                                            const std::string &endpoint);

    /// \brief Applies a request limit that another entry was told.
    void applyRemoteLimit(instant now, const std::string &endpoint, double requestsPerSecond);

    /// \brief Predicts how long a request waits for the limits of the endpoints.
    /// \param waiting requests that go first
    /// \returns nothing while an endpoint without a limit accepts work.
    [[nodiscard]] std::optional<nanoseconds> limitedWait(instant now, bool steadyOnly,
                                                         std::size_t waiting) const;

    /// \brief Sets whether the VM list marks the endpoint's VM as leaving.
    void setLeaving(const std::string &endpoint, bool leaving);

    /// \brief Records that this entry sent a request.
    /// \param ticket unique at this entry
    void requestSent(instant now, const std::string &endpoint, std::uint64_t ticket,
                     const endpoint_work &work);

    /// \brief Records a long prompt that another entry sent.
    /// \param tokens prompt tokens to prefill
    /// \param timeToFirstToken predicted by the other entry
    void addRemotePrompt(instant now, const std::string &endpoint, std::int64_t tokens,
                         nanoseconds timeToFirstToken);

    /// \brief Records the first piece of an answer: the prefill of the request is complete.
    void firstPieceArrived(instant now, const std::string &endpoint, std::uint64_t ticket);

    /// \brief Removes a request that is no longer in flight at the endpoint.
    void requestEnded(const std::string &endpoint, std::uint64_t ticket);

    /// \param sentAt when the answered request was sent
    /// \returns true when this closed the endpoint's circuit breaker.
    bool succeeded(instant now, const std::string &endpoint, instant sentAt);

    /// \returns true when this opened the endpoint's circuit breaker.
    bool failed(instant now, const std::string &endpoint, bool crashed);

    /// \brief Records a request that failed at another entry.
    /// \returns true when the endpoint became suspected.
    bool applyRemoteFailure(instant now, const std::string &endpoint, bool crashed);

    /// \brief Returns views of all endpoints for one request, valid until the next call of this
    /// object.
    [[nodiscard]] std::vector<policy::endpoint_view>
    views(instant now, const endpoint_requirements &requirements) const;

    /// \brief Marks suspected endpoints as unusable if another endpoint is usable.
    /// \param all result of views(), in the same order
    void avoidSuspected(instant now, std::span<policy::endpoint_view> all) const;

    /// \brief Marks endpoints that this entry has not heard from as unusable while the list of
    /// endpoints is older than the drain notice, if it has heard from another usable one.
    /// \param all result of views(), in the same order
    void avoidUnheard(instant now, std::span<policy::endpoint_view> all) const;

    /// \returns true when some endpoint accepts such work, even if it is currently full or its
    /// circuit breaker is open.
    [[nodiscard]] bool canServe(const endpoint_requirements &requirements) const;

    /// \returns the row of the endpoint, or null when the pool does not list it.
    [[nodiscard]] const state::endpoint *row(const std::string &endpoint) const;

    /// \returns the last incarnation that the endpoint reported; 0 when none.
    [[nodiscard]] std::uint64_t incarnation(const std::string &endpoint) const;

    [[nodiscard]] std::size_t size() const noexcept { return m_rows.size(); }

    /// \returns the prompts that other entries announced at prefill engines and that are expected
    ///          to be in progress.
    [[nodiscard]] std::size_t announcedPrefills(instant now) const;

    /// \returns the slots of the prefill engines that accept work.
    [[nodiscard]] int prefillEngineSlots() const noexcept;

private:
    struct running_request
    {
        std::uint64_t ticket = 0;
        instant sentAt{};
        endpoint_work work;
        bool prefilled = false;
    };

    struct prefilled_times
    {
        instant sentAt{};
        instant firstTokenAt{};
    };

    struct failure_record
    {
        instant at{};
        int weight = 1;
    };

    struct remote_prompt
    {
        std::int64_t tokens = 0;
        instant announcedAt{};
        instant firstTokenAt{}; ///< expected time of its first token
    };

    struct endpoint_state
    {
        state::endpoint row;
        endpoint_report report;
        bool listedLeaving = false;
        bool announcedLeaving = false;     ///< in an answer to this entry or to another one
        instant pausedUntil{};             ///< it asked this entry for no requests until then
        std::optional<shared_limit> limit; ///< while it names one
        instant limitToldAt{};             ///< when the other entries last got or sent it
        instant limitLiftedAt{};
        instant heardAt{}; ///< its last answer or load report, which would tell that it is leaving
        instant firstSentAt{};
        std::vector<running_request> running;
        std::vector<remote_prompt> remotePrompts; ///< long prompts sent by other entries
        circuit_breaker breaker;
        std::vector<failure_record> failures; ///< recent failures at all entries
        policy::endpoint_pace pace;
        policy::endpoint_rates rates;
        policy::prefill_queue queue;
        policy::rate_observation untold; ///< not yet told to the other entries
        std::optional<prefilled_times> untoldPrompt;
        bool reportUntold = false; ///< the report came to this entry and was not told

        [[nodiscard]] int outstanding() const noexcept { return static_cast<int>(running.size()); }
        [[nodiscard]] int sentSinceReport() const noexcept;
    };

    void recordPace(endpoint_state &endpoint);
    [[nodiscard]] int slotsOf(const endpoint_state &endpoint) const noexcept;
    [[nodiscard]] int slotCapacity(const endpoint_state &endpoint) const noexcept;
    [[nodiscard]] bool reportedFull(instant now, const endpoint_state &endpoint) const;
    [[nodiscard]] policy::endpoint_speed speedOf(instant now, const endpoint_state &endpoint) const;
    [[nodiscard]] double prefillRate(instant now, const endpoint_state &endpoint) const;
    static void recordPrefilled(instant now, endpoint_state &endpoint,
                                const running_request &prefilled);
    void queuePrompt(instant now, endpoint_state &endpoint, std::int64_t tokens,
                     nanoseconds lifetime, std::optional<std::uint64_t> ticket) const;
    [[nodiscard]] bool listTooOld(instant now) const noexcept;
    static void addFailure(instant now, endpoint_state &endpoint, bool crashed);
    [[nodiscard]] static bool suspected(instant now, const endpoint_state &endpoint);
    [[nodiscard]] static bool leaving(const endpoint_state &endpoint) noexcept;
    [[nodiscard]] static bool acceptsWork(const endpoint_state &endpoint, bool steadyOnly);
    [[nodiscard]] limit_position positionAt(const endpoint_state &endpoint) const;
    bool setLimit(instant now, endpoint_state &endpoint, double requestsPerSecond);
    [[nodiscard]] int capacityOf(const endpoint_state &endpoint) const noexcept;
    [[nodiscard]] std::string_view unavailableReason(instant now,
                                                     const endpoint_state &endpoint) const;
    [[nodiscard]] std::string_view unusableReason(instant now, const endpoint_state &endpoint,
                                                  const endpoint_requirements &requirements) const;
    [[nodiscard]] static bool hasVersion(const endpoint_state &endpoint,
                                         const endpoint_requirements &requirements);
    [[nodiscard]] static std::int64_t remotePromptTokens(instant now,
                                                         const endpoint_state &endpoint);
    static void countRunning(const endpoint_state &endpoint, policy::endpoint_view &view);
    [[nodiscard]] running_request *findRunning(const std::string &endpoint, std::uint64_t ticket);
    [[nodiscard]] endpoint_state *find(const std::string &endpoint);
    [[nodiscard]] const endpoint_state *find(const std::string &endpoint) const;

    std::vector<endpoint_state> m_rows;
    entry_position m_position; ///< among the entries that send to the same endpoints
    int m_maxConnections = 0;  ///< per endpoint, for all entries together; 0: unlimited
    bool m_listed = false;     ///< the platform lists the endpoints
    bool m_paceUsed = true;    ///< the pool's router uses it
    bool m_paced = false;      ///< an endpoint has reported a pace
    bool m_plainService = false;
    policy::endpoint_rates m_poolRates;   ///< of all endpoints together
    policy::learnt_value m_answerSeconds; ///< of a whole answer at the usual pace
    double m_promptTokens = 0;            ///< mean tokens to prefill of a short prompt
    nanoseconds m_drainNotice{};
    std::optional<instant> m_listAskedAt;
};

} // namespace yuccascale::kernel::requests
