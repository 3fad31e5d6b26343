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
    cutAll();
    {
        const std::scoped_lock guard(m_mutex);
        m_stopped = true;
        m_work.notify_all();
    }
    m_thread.join();
}

bool batch::submit(const std::shared_ptr<job> &work)
{
    const std::scoped_lock guard(m_mutex);
    if (m_stopped || m_waiting.size() >= static_cast<std::size_t>(m_settings.queueLimit))
        return false;
    const std::int64_t tokens = promptTokens(work->prompt) + work->nextPiece;
    work->cachedTokens = std::max(m_cache.lookUp(work->prompt), work->importedTokens);
    work->prefillLeft = std::max<std::int64_t>(1, tokens - work->cachedTokens);
    const auto behind = std::ranges::find_if(
            m_waiting, [&](const auto &other) { return other->priority < work->priority; });
    m_waiting.insert(behind, work);
    m_work.notify_all();
    return true;
}

job_progress batch::wait(const std::shared_ptr<job> &work, std::int64_t seen)
{
    std::unique_lock guard(m_mutex);
    m_progress.wait(guard,
                    [&] { return work->nextPiece > seen || work->state != job_state::Running; });
    return {work->nextPiece, work->cachedTokens, work->state};
}

bool batch::cancel(const std::string &id)
{
    const std::scoped_lock guard(m_mutex);
    bool found = false;
    for (auto *jobs : {&m_waiting, &m_running}) {
        for (const auto &work : *jobs) {
            if (work->id != id || work->state != job_state::Running)
                continue;
            work->state = job_state::Cancelled;
            found = true;
        }
    }
    dropEnded();
    m_progress.notify_all();
    return found;
}

int batch::cutAll()
{
    const std::scoped_lock guard(m_mutex);
    const auto count = m_waiting.size() + m_running.size();
    for (auto *jobs : {&m_waiting, &m_running}) {
        for (const auto &work : *jobs)
            work->state = job_state::Cut;
        jobs->clear();
    }
    m_progress.notify_all();
    return static_cast<int>(count);
}

void batch::setSlowdown(std::int64_t slowPrefill, std::int64_t slowDecode)
{
    const std::scoped_lock guard(m_mutex);
    m_slowPrefill = slowPrefill;
    m_slowDecode = slowDecode;
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

std::vector<cache_event> batch::cacheEvents(std::uint64_t since, std::int64_t lagMs) const
{
    const std::scoped_lock guard(m_mutex);
    return m_cache.events(since, wallMs(), lagMs);
}

void batch::run()
{
    std::unique_lock guard(m_mutex);
    while (!m_stopped) {
        admitWaiting();
        sampleLoad();
        if (m_running.empty()) {
            m_work.wait_for(guard, sampleInterval,
                            [this] { return m_stopped || !m_waiting.empty(); });
            continue;
        }
        const auto until = std::chrono::steady_clock::now() + stepTime();
        guard.unlock();
        std::this_thread::sleep_until(until);
        guard.lock();
        applyStep();
        dropEnded();
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
        for (const auto &work : *jobs) {
            load.prefillTokensWaiting += work->prefillLeft;
            load.decodeTokensWaiting += work->prefillOnly ? 0 : work->pieces - work->nextPiece;
        }
    }
    m_loads.push_back(load);
    if (m_loads.size() > maxLoadSamples)
        m_loads.pop_front();
}

job *batch::nextPrefill() const
{
    const auto found = std::ranges::find_if(m_running,
                                            [](const auto &work) { return work->prefillLeft > 0; });
    return found == m_running.end() ? nullptr : found->get();
}

std::chrono::microseconds batch::stepTime() const
{
    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    std::int64_t time = 0;
    const auto streams = std::ranges::count_if(
            m_running, [](const auto &work) { return work->prefillLeft == 0; });
    if (streams > 0)
        time += m_slowDecode
                * (m_settings.stepMicroseconds + streams * m_settings.stepPerStreamMicroseconds);
    if (const job *work = nextPrefill())
        time += m_slowPrefill * std::min(work->prefillLeft, prefillChunkTokens)
                * microsecondsPerSecond / m_settings.prefillTokensPerSecond;
    return std::chrono::microseconds(time);
}

void batch::applyStep()
{
    job *const prefilled = nextPrefill();
    for (const auto &work : m_running) {
        if (work->prefillLeft == 0)
            ++work->nextPiece;
        if (work->prefillLeft == 0 && work->nextPiece >= work->pieces)
            work->state = job_state::Finished;
    }
    if (prefilled == nullptr)
        return;
    prefilled->prefillLeft -= std::min(prefilled->prefillLeft, prefillChunkTokens);
    if (prefilled->prefillLeft > 0)
        return;
    m_cache.keep(prefilled->prompt, wallMs());
    if (prefilled->prefillOnly || prefilled->nextPiece >= prefilled->pieces)
        prefilled->state = job_state::Finished;
}

void batch::dropEnded()
{
    const auto ended = [](const auto &work) { return work->state != job_state::Running; };
    m_waiting.remove_if(ended);
    m_running.remove_if(ended);
}

} // namespace yuccascale::fakes
