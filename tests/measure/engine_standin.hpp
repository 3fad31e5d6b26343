#pragma once

#include "event_loop.hpp"
#include "yuccascale/kernel/policy/routing.hpp"

#include <array>
#include <functional>
#include <list>
#include <vector>

/// \file
/// \brief Timing model of an engine: step time that grows with the batch, chunked prefill and a
///        prefix cache.

namespace yuccascale::measure {

using kernel::state::endpoint_tenure;
using kernel::state::engine_role;

/// A request from its arrival to its end; times in seconds.
struct simulated_request
{
    std::uint64_t id = 0;
    int organisation = 0;
    int entry = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    std::int64_t expectedOutputTokens = 0;
    int prefix = 0; ///< id of the shared prompt prefix; 0: none
    std::int64_t prefixTokens = 0;
    bool idempotent = true;
    double arrivedAt = 0;
    double deadline = 0;
    // the current attempt
    int engine = -1;        ///< that generates the answer
    int prefillEngine = -1; ///< that prefills the prompt, if a different one
    double dispatchedAt = 0;
    int runningAtDispatch = 0;
    std::int64_t cachedTokens = 0;
    double prefillTokensLeft = 0;
    std::int64_t generatedTokens = 0;
    double firstTokenAt = -1; ///< of the request; kept over attempts
    double attemptFirstTokenAt = -1;
    int attempts = 0;
    bool ended = false; ///< answered, lost or past its deadline
};

/// Events of a request that an engine reports to the entry.
enum class request_event { FirstToken, PromptPrefilled, Done, Lost };

/// Histogram of the times between tokens, in bins of 1 ms.
struct token_gaps
{
    std::array<std::int64_t, 1'000> bins{};

    void add(double gapSeconds, std::int64_t count);
    [[nodiscard]] double quantile(double share) const; ///< milliseconds
};

class engine_standin
{
public:
    using listener = std::function<void(simulated_request &, request_event)>;

    engine_standin(event_loop &loop, kernel::state::endpoint row, double slowdownFactor,
                   token_gaps &gaps, listener onEvent);

    void accept(simulated_request &request, bool prefillOnly);
    void cancel(const simulated_request &request);
    void changeRole(engine_role newRole, double roleChangeSeconds);
    void reclaim(double noticeSeconds); ///< reports itself as leaving; ends after the notice
    void drain();                       ///< reports itself as leaving; ends when no request is left

    [[nodiscard]] kernel::policy::load_report report() const;
    [[nodiscard]] bool isServing() const noexcept
    {
        return !m_ended && !m_roleChangeInProgress && !m_changingRole;
    }
    [[nodiscard]] bool isChangingRole() const noexcept
    {
        return m_changingRole || m_roleChangeInProgress;
    }
    [[nodiscard]] bool leaving() const noexcept { return m_leaving; }
    [[nodiscard]] bool hasEnded() const noexcept { return m_ended; }
    [[nodiscard]] int load() const noexcept;
    [[nodiscard]] const kernel::state::endpoint &row() const noexcept { return m_row; }
    [[nodiscard]] double roleSince() const noexcept { return m_roleSince; }

    double startedAt = 0;
    double endedAt = -1;
    /// Called with the prefix, its tokens, and whether it was added (otherwise evicted).
    std::function<void(int, std::int64_t, bool)> onCacheChange;

private:
    struct batch_item
    {
        simulated_request *request;
        bool prefillOnly;
        bool prefilling;
    };

    void startItem(batch_item item);
    void startStep();
    void finishStep(double chunkTokens, double duration);
    void decodeStep(double duration);
    void touchPrefix(const simulated_request &request);
    void terminate();

    event_loop &m_loop;
    kernel::state::endpoint m_row;
    double m_slowdownFactor;
    token_gaps &m_gaps;
    listener m_onEvent;
    std::list<batch_item> m_queue;  ///< requests waiting for a slot
    std::list<batch_item> m_active; ///< requests in the batch, in prefill or decode
    std::list<std::pair<int, std::int64_t>> m_cache;
    bool m_stepping = false;
    bool m_changingRole = false;
    bool m_roleChangeInProgress = false;
    bool m_leaving = false;
    bool m_draining = false;
    bool m_ended = false;
    engine_role m_nextRole = engine_role::Mixed;
    double m_roleChangeSeconds = 0;
    double m_roleSince = 0;
};

} // namespace yuccascale::measure
