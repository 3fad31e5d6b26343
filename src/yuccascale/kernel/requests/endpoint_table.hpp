#pragma once

#include "yuccascale/kernel/policy/routing.hpp"
#include "yuccascale/kernel/requests/circuit_breaker.hpp"

#include <algorithm>
#include <map>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief What this entry knows of a pool's endpoints.

namespace yuccascale::kernel::requests {

/// \brief A load report as an endpoint gave it.
struct endpoint_report
{
    policy::load_report load;
    std::uint64_t incarnation = 0; ///< rises when the endpoint restarts; 0 when it gives none
};

/// \brief Who asks for an endpoint, as far as it bears on which are usable.
struct endpoint_requirements
{
    bool steadyOnly = false; ///< it may outlast the notice of an endpoint that is reclaimed
    std::vector<std::string> avoidEndpoints; ///< as long as another one takes work
};

/// \brief Tokens of a request that an endpoint is given.
struct endpoint_work
{
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
};

/// \brief Endpoints of one pool. Not thread-safe; its owner serialises calls.
class endpoint_table
{
public:
    /// \brief Takes over a pool's rows; what is known of kept endpoints stays.
    void setRows(const state::pool &pool);

    /// \brief Tells how many entries share the connections of the endpoints.
    void setEntryCount(int entries) noexcept { m_entries = std::max(entries, 1); }

    /// \brief Takes in a load report.
    /// \returns true when the endpoint gave notice with it.
    bool report(const std::string &endpoint, const endpoint_report &report);

    /// \brief The VM list says that the endpoint's VM is leaving, or no longer does.
    void setLeaving(const std::string &endpoint, bool leaving);

    /// \brief A request was sent.
    /// \param ticket unique at this entry
    void requestSent(instant now, const std::string &endpoint, std::uint64_t ticket,
                     const endpoint_work &work);

    /// \brief Another entry sent a long prompt.
    /// \param tokens to be read there
    /// \param ready until its first token, as predicted
    void promptSentElsewhere(instant now, const std::string &endpoint, std::int64_t tokens,
                             nanoseconds timeToFirstToken);

    /// \brief The first piece of a request came: its prompt is done.
    void firstPiece(const std::string &endpoint, std::uint64_t ticket);

    /// \brief A request left the endpoint.
    void requestEnded(const std::string &endpoint, std::uint64_t ticket);

    /// \param sentAt when the answered request was sent
    /// \returns true when this closed the endpoint's circuit breaker.
    bool succeeded(instant now, const std::string &endpoint, instant sentAt);

    /// \returns true when this opened the endpoint's circuit breaker.
    bool failed(instant now, const std::string &endpoint, bool crashed);

    /// \brief Another entry saw a request fail.
    /// \returns true when the endpoint is suspected from now on.
    bool failedElsewhere(instant now, const std::string &endpoint, bool crashed);

    /// \brief Views of all endpoints for one request; valid until the next call of this object.
    [[nodiscard]] std::vector<policy::endpoint_view>
    views(instant now, const endpoint_requirements &requirements) const;

    /// \brief Marks endpoints that failed requests of late as unusable, if another one is usable.
    /// \param all from views(), in its order
    void avoidSuspected(instant now, std::span<policy::endpoint_view> all) const;

    /// \returns true when some endpoint takes work at all, be it full or sick now.
    [[nodiscard]] bool canServe(bool steadyOnly) const;

    /// \returns the row, or null when the pool does not list it.
    [[nodiscard]] const state::endpoint *row(const std::string &endpoint) const;

    /// \returns the last incarnation that the endpoint reported; 0 when none.
    [[nodiscard]] std::uint64_t incarnation(const std::string &endpoint) const;

    [[nodiscard]] std::size_t size() const noexcept { return m_rows.size(); }

    /// \returns how many engines only fill prompts.
    [[nodiscard]] int prefillEngines() const noexcept;

private:
    struct running_request
    {
        std::uint64_t ticket = 0;
        instant sentAt{};
        endpoint_work work;
        bool prefilled = false;
    };

    struct failure_record
    {
        instant at{};
        int weight = 1;
    };

    struct remote_prompt
    {
        std::int64_t tokens = 0;
        instant from{};
        instant until{}; ///< its first token is expected then
    };

    struct endpoint_state
    {
        state::endpoint row;
        endpoint_report report;
        bool listedLeaving = false;
        instant firstSentAt{};
        std::vector<running_request> running;
        std::vector<remote_prompt> remotePrompts; ///< long prompts of the other entries
        circuit_breaker breaker;
        std::vector<failure_record> failures; ///< of late, here and elsewhere

        [[nodiscard]] int outstanding() const noexcept { return static_cast<int>(running.size()); }
        [[nodiscard]] int sentSinceReport() const noexcept;
    };

    static void addFailure(instant now, endpoint_state &endpoint, bool crashed);
    [[nodiscard]] static bool suspected(instant now, const endpoint_state &endpoint);
    [[nodiscard]] static bool acceptsWork(const endpoint_state &endpoint, bool steadyOnly);
    [[nodiscard]] int capacityOf(const endpoint_state &endpoint) const noexcept;
    [[nodiscard]] std::string_view unavailableReason(instant now,
                                                     const endpoint_state &endpoint) const;
    [[nodiscard]] std::string_view unusableReason(instant now, const endpoint_state &endpoint,
                                                  bool steadyOnly) const;
    [[nodiscard]] static std::int64_t remotePromptTokens(instant now,
                                                         const endpoint_state &endpoint);
    static void countRunning(const endpoint_state &endpoint, policy::endpoint_view &view);
    [[nodiscard]] running_request *findRunning(const std::string &endpoint, std::uint64_t ticket);
    [[nodiscard]] endpoint_state *find(const std::string &endpoint);
    [[nodiscard]] const endpoint_state *find(const std::string &endpoint) const;

    std::vector<endpoint_state> m_rows;
    int m_entries = 1;        ///< entries that send to the same endpoints
    int m_maxConnections = 0; ///< of one endpoint, for all entries; 0: no bound
};

} // namespace yuccascale::kernel::requests
