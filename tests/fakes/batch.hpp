#pragma once

#include "fakes/prefix_cache.hpp"
#include "yuccascale/kernel/json.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

/// \file
/// \brief Continuous batching of an engine stand-in: each step generates one token per decoding
/// job.

namespace yuccascale::fakes {

/// \brief Capacity and speed of an engine stand-in.
struct batch_settings
{
    int slots = 8;
    int queueLimit = 64;
    std::int64_t prefillTokensPerSecond = 8'000;
    std::int64_t stepMicroseconds = 8'000;        ///< decode step without the time per stream
    std::int64_t stepPerStreamMicroseconds = 500; ///< added to a decode step by each decoding job
    std::int64_t cacheTokens = 65'536;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(batch_settings, slots, queueLimit,
                                                prefillTokensPerSecond, stepMicroseconds,
                                                stepPerStreamMicroseconds, cacheTokens)
};

/// \brief State of a job; Running includes queued.
enum class job_state { Running, Finished, Cancelled, Interrupted };

/// \brief One request inside the engine. Its fields are guarded by the mutex of the batch.
struct engine_job
{
    std::string id;
    int priority = 0;
    std::string prompt;
    bool prefillOnly = false;
    std::int64_t importedTokens = 0; ///< of KV cache, from another engine
    std::int64_t firstPiece = 0;     ///< index at which generation starts
    std::int64_t nextPiece = 0;
    std::int64_t pieces = 0; ///< number in the whole answer
    std::int64_t cachedTokens = 0;
    std::int64_t prefillTokensLeft = 0;
    job_state state = job_state::Running;
};

/// \brief Load of an engine at one time.
struct batch_load
{
    std::int64_t atMs = 0;
    int running = 0;
    int queued = 0;
    std::int64_t prefillTokensWaiting = 0;
    std::int64_t decodeTokensWaiting = 0;
};

/// \brief Progress of a job, as batch::wait() returns it.
struct job_progress
{
    std::int64_t nextPiece = 0;
    std::int64_t cachedTokens = 0;
    job_state state = job_state::Running;
};

/// \brief Runs jobs step by step on its own thread. Thread-safe.
class batch
{
public:
    explicit batch(const batch_settings &settings);
    ~batch();
    batch(const batch &) = delete;
    batch &operator=(const batch &) = delete;

    /// \returns false when the queue is full; the job has not run.
    [[nodiscard]] bool submit(const std::shared_ptr<engine_job> &job);

    /// \brief Waits until the job has more than \a knownPieces pieces or has ended.
    [[nodiscard]] job_progress wait(const std::shared_ptr<engine_job> &job,
                                    std::int64_t knownPieces);

    /// \returns false when no job with this id is queued or running.
    bool cancel(const std::string &id);

    /// \brief Interrupts every job. \returns how many there were.
    int interruptAll();

    /// \param prefillSlowdown factor on the duration of prefill in the current role
    /// \param decodeSlowdown factor on the duration of decode in the current role
    void setSlowdown(std::int64_t prefillSlowdown, std::int64_t decodeSlowdown);

    /// \returns the newest load sampled at or before \a atMs.
    [[nodiscard]] batch_load loadAt(std::int64_t atMs) const;

    [[nodiscard]] std::vector<cache_event> cacheEvents(std::uint64_t firstSequence,
                                                       std::int64_t lagMs) const;

private:
    void run();
    void admitWaiting();
    void sampleLoad();
    [[nodiscard]] std::chrono::microseconds stepTime() const;
    void applyStep();
    void removeEnded();
    [[nodiscard]] engine_job *nextPrefill() const;

    batch_settings m_settings;
    mutable std::mutex m_mutex;
    std::condition_variable m_jobSubmitted;
    std::condition_variable m_progress;
    prefix_cache m_cache;
    std::list<std::shared_ptr<engine_job>> m_waiting; ///< sorted by priority
    std::list<std::shared_ptr<engine_job>> m_running;
    std::deque<batch_load> m_loads;
    std::int64_t m_prefillSlowdown = 1;
    std::int64_t m_decodeSlowdown = 1;
    bool m_stopped = false;
    std::thread m_thread;
};

} // namespace yuccascale::fakes
