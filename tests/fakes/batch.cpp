#include "fakes/batch.hpp"

#include "fakes/answer_text.hpp"
#include "fakes/history.hpp"

#include <algorithm>

namespace yuccascale::fakes {

namespace {

constexpr std::int64_t prefillChunkTokens = 256;
constexpr std::size_t maxLoadSamples = 100;
constexpr std::chrono::milliseconds sampleInterval{50};

} // namespace

batch::batch(const batch_settings &settings)
    : m_settings(settings)
    , m_cache(settings.cacheTokens)
    , m_thread([this] { run(); })
{ }

batch::~batch()
{
    interruptAll();
    {
        const std::scoped_lock guard(m_mutex);
        m_stopped = true;
        m_jobSubmitted.notify_all();
    }
    m_thread.join();
}

bool batch::submit(const std::shared_ptr<engine_job> &job)
{
    const std::scoped_lock guard(m_mutex);
    if (m_stopped || m_waiting.size() >= static_cast<std::size_t>(m_settings.queueLimit))
        return false;
    const std::int64_t tokens = promptTokens(job->prompt) + job->nextPiece;
    job->cachedTokens = std::max(m_cache.lookUp(job->prompt), job->importedTokens);
    job->prefillTokensLeft = std::max<std::int64_t>(1, tokens - job->cachedTokens);
    const auto insertBefore = std::ranges::find_if(
            m_waiting, [&](const auto &other) { return other->priority < job->priority; });
    m_waiting.insert(insertBefore, job);
    m_jobSubmitted.notify_all();
    return true;
}

job_progress batch::wait(const std::shared_ptr<engine_job> &job, std::int64_t knownPieces)
{
    std::unique_lock guard(m_mutex);
    m_progress.wait(guard, [&] {
        return job->nextPiece > knownPieces || job->state != job_state::Running;
    });
    return {job->nextPiece, job->cachedTokens, job->state};
}

bool batch::cancel(const std::string &id)
{
    const std::scoped_lock guard(m_mutex);
    bool found = false;
    for (auto *jobs : {&m_waiting, &m_running}) {
        for (const auto &job : *jobs) {
            if (job->id != id || job->state != job_state::Running)
                continue;
            job->state = job_state::Cancelled;
            found = true;
        }
    }
    removeEnded();
    m_progress.notify_all();
    return found;
}

int batch::interruptAll()
{
    const std::scoped_lock guard(m_mutex);
    const auto count = m_waiting.size() + m_running.size();
    for (auto *jobs : {&m_waiting, &m_running}) {
        for (const auto &job : *jobs)
            job->state = job_state::Interrupted;
        jobs->clear();
    }
    m_progress.notify_all();
    return static_cast<int>(count);
}

void batch::setSlowdown(std::int64_t prefillSlowdown, std::int64_t decodeSlowdown)
{
    const std::scoped_lock guard(m_mutex);
    m_prefillSlowdown = prefillSlowdown;
    m_decodeSlowdown = decodeSlowdown;
}

batch_load batch::loadAt(std::int64_t atMs) const
{
    const std::scoped_lock guard(m_mutex);
    batch_load out;
    out.atMs = atMs;
    for (const batch_load &sample : m_loads) {
        if (sample.atMs <= atMs)
            out = sample;
    }
    return out;
}

std::vector<cache_event> batch::cacheEvents(std::uint64_t firstSequence, std::int64_t lagMs) const
{
    const std::scoped_lock guard(m_mutex);
    return m_cache.events(firstSequence, wallMs(), lagMs);
}

void batch::run()
{
    std::unique_lock guard(m_mutex);
    while (!m_stopped) {
        admitWaiting();
        sampleLoad();
        if (m_running.empty()) {
            m_jobSubmitted.wait_for(guard, sampleInterval,
                                    [this] { return m_stopped || !m_waiting.empty(); });
            continue;
        }
        const auto until = std::chrono::steady_clock::now() + stepTime();
        guard.unlock();
        std::this_thread::sleep_until(until);
        guard.lock();
        applyStep();
        removeEnded();
        m_progress.notify_all();
    }
}

void batch::admitWaiting()
{
    while (!m_waiting.empty() && m_running.size() < static_cast<std::size_t>(m_settings.slots)) {
        m_running.push_back(m_waiting.front());
        m_waiting.pop_front();
    }
}

void batch::sampleLoad()
{
    const std::int64_t now = wallMs();
    if (!m_loads.empty() && m_loads.back().atMs + sampleInterval.count() > now)
        return;
    batch_load load{now, static_cast<int>(m_running.size()), static_cast<int>(m_waiting.size()), 0,
                    0};
    for (const auto *jobs : {&m_waiting, &m_running}) {
        for (const auto &job : *jobs) {
            load.prefillTokensWaiting += job->prefillTokensLeft;
            load.decodeTokensWaiting += job->prefillOnly ? 0 : job->pieces - job->nextPiece;
        }
    }
    m_loads.push_back(load);
    if (m_loads.size() > maxLoadSamples)
        m_loads.pop_front();
}

engine_job *batch::nextPrefill() const
{
    const auto found = std::ranges::find_if(
            m_running, [](const auto &job) { return job->prefillTokensLeft > 0; });
    return found == m_running.end() ? nullptr : found->get();
}

std::chrono::microseconds batch::stepTime() const
{
    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    std::int64_t time = 0;
    const auto streams = std::ranges::count_if(
            m_running, [](const auto &job) { return job->prefillTokensLeft == 0; });
    if (streams > 0)
        time += m_decodeSlowdown
                * (m_settings.stepMicroseconds + streams * m_settings.stepPerStreamMicroseconds);
    if (const engine_job *job = nextPrefill())
        time += m_prefillSlowdown * std::min(job->prefillTokensLeft, prefillChunkTokens)
                * microsecondsPerSecond / m_settings.prefillTokensPerSecond;
    return std::chrono::microseconds(time);
}

void batch::applyStep()
{
    engine_job *const prefilled = nextPrefill();
    for (const auto &job : m_running) {
        if (job->prefillTokensLeft == 0)
            ++job->nextPiece;
        if (job->prefillTokensLeft == 0 && job->nextPiece >= job->pieces)
            job->state = job_state::Finished;
    }
    if (prefilled == nullptr)
        return;
    prefilled->prefillTokensLeft -= std::min(prefilled->prefillTokensLeft, prefillChunkTokens);
    if (prefilled->prefillTokensLeft > 0)
        return;
    m_cache.store(prefilled->prompt, wallMs());
    if (prefilled->prefillOnly || prefilled->nextPiece >= prefilled->pieces)
        prefilled->state = job_state::Finished;
}

void batch::removeEnded()
{
    const auto ended = [](const auto &job) { return job->state != job_state::Running; };
    m_waiting.remove_if(ended);
    m_running.remove_if(ended);
}

} // namespace yuccascale::fakes
