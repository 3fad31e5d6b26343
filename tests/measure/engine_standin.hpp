#pragma once

#include "event_loop.hpp"
#include "yuccascale/kernel/policy/routing.hpp"

#include <array>
#include <functional>
#include <list>
#include <vector>

/// \file
/// \brief An engine's timing: a batch that slows as it fills, chunked prefill, a prefix cache.

namespace yuccascale::measure {

using kernel::state::endpoint_tenure;
using kernel::state::engine_role;

/// A request from arrival to its end.
struct job
{
    std::uint64_t id = 0;
    int organisation = 0;
    int entry = 0;
    std::int64_t prompt = 0;
    std::int64_t output = 0;
    std::int64_t expectedOutput = 0;
    int prefix = 0; ///< 0: none shared
    std::int64_t prefixTokens = 0;
    bool idempotent = true;
    double arrived = 0;
    double deadline = 0;
    // the try under way
    int engine = -1;        ///< that generates
    int prefillEngine = -1; ///< that fills the prompt first, if another
    double dispatched = 0;
    int runningAtDispatch = 0;
    std::int64_t cached = 0;
    double prefillLeft = 0;
    std::int64_t generated = 0;
    double firstToken = -1; ///< of the request; kept over tries
    double firstTokenOfTry = -1;
    int tries = 0;
    bool ended = false; ///< answered, lost or past its deadline
};

/// What an engine tells the entry of a request.
enum class job_event { FirstToken, PromptFilled, Done, Lost };

/// Times between tokens, in bins of a millisecond.
struct token_gaps
{
    std::array<std::int64_t, 1'000> bins{};

    void add(double gapSeconds, std::int64_t count);
    [[nodiscard]] double quantile(double share) const; ///< milliseconds
};

class engine_standin
{
public:
    using listener = std::function<void(job &, job_event)>;

    engine_standin(event_loop &loop, kernel::state::endpoint row, double slowness, token_gaps &gaps,
                   listener tell);

    void accept(job &request, bool promptOnly);
    void cancel(const job &request);
    void changeRole(engine_role to, double nonHomePenaltySeconds);
    void leave(double noticeSeconds); ///< takes no more work, ends after the notice
    void drain();                     ///< ends when its work is done

    [[nodiscard]] kernel::policy::load_report report() const;
    [[nodiscard]] bool serves() const noexcept { return !m_gone && !m_away && !m_changing; }
    [[nodiscard]] bool changing() const noexcept { return m_changing || m_away; }
    [[nodiscard]] bool leaving() const noexcept { return m_leaving; }
    [[nodiscard]] bool gone() const noexcept { return m_gone; }
    [[nodiscard]] int load() const noexcept;
    [[nodiscard]] const kernel::state::endpoint &row() const noexcept { return m_row; }
    [[nodiscard]] double roleSince() const noexcept { return m_roleSince; }

    double startedAt = 0;
    double endedAt = -1;
    /// Cache events: prefix and whether it was added.
    std::function<void(int, std::int64_t, bool)> cacheChanged;

private:
    struct work
    {
        job *request;
        bool promptOnly;
        bool prefilling;
    };

    void begin(work item);
    void step();
    void finishStep(double chunk, double duration);
    void decodeStep(double duration);
    void touchPrefix(const job &request);
    void end();

    event_loop &m_loop;
    kernel::state::endpoint m_row;
    double m_slowness;
    token_gaps &m_gaps;
    listener m_tell;
    std::list<work> m_queue;  ///< waiting for a slot
    std::list<work> m_active; ///< in the batch, prefilling or generating
    std::list<std::pair<int, std::int64_t>> m_cache;
    bool m_stepping = false;
    bool m_changing = false;
    bool m_away = false;
    bool m_leaving = false;
    bool m_draining = false;
    bool m_gone = false;
    engine_role m_next = engine_role::Mixed;
    double m_awaySeconds = 0;
    double m_roleSince = 0;
};

} // namespace yuccascale::measure
