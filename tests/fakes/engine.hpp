#pragma once

#include "fakes/batch.hpp"
#include "fakes/history.hpp"
#include "fakes/http_server.hpp"
#include "fakes/standin.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

/// \file
/// \brief A stand-in of a language-model engine, with faults on request.

namespace yuccascale::fakes {

/// \brief Settings of an engine stand-in; times in milliseconds.
struct engine_settings
{
    std::string name = "engine";
    int port = 0;
    std::string model = "model@1";
    std::string role = "mixed";
    batch_settings work;
    bool fences = true; ///< refuses orders with a fencing number below the highest
    std::int64_t roleChangeMs = 6'000;
    std::int64_t loadModelMs = 3'000;
    std::int64_t loadLagMs = 200;
    std::int64_t cacheEventLagMs = 300;
    std::uint64_t cacheEventGap = 50; ///< every n-th event is lost; 0: none
    std::int64_t restartMs = 2'000;   ///< downtime after a crash; 0: a crash ends the process

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(engine_settings, name, port, model, role, work,
                                                fences, roleChangeMs, loadModelMs, loadLagMs,
                                                cacheEventLagMs, cacheEventGap, restartMs)
};

/// \brief A prompt that contains this text crashes the engine.
constexpr std::string_view crashMarker = "CRASH-THE-ENGINE";

/// \brief Serves the engine interface on one port and restarts after a crash. Thread-safe.
class engine final : public standin
{
public:
    engine(engine_settings settings, const history &eventHistory);
    ~engine() override;
    engine(const engine &) = delete;
    engine &operator=(const engine &) = delete;

private:
    struct order_record
    {
        std::string kind;
        std::string argument;
        std::int64_t doneAtMs = 0;
    };

    void runTimer();
    void tick();
    void restart();
    [[nodiscard]] http_reply handle(const http_request &request);
    [[nodiscard]] http_reply answer(const http_request &request);
    [[nodiscard]] http_reply cancel(const http_request &request);
    [[nodiscard]] http_reply load(const http_request &request);
    [[nodiscard]] http_reply cacheEvents(const http_request &request);
    [[nodiscard]] http_reply acceptOrder(const http_request &request);
    [[nodiscard]] http_reply orderState(const http_request &request);
    [[nodiscard]] http_reply exportKv(const http_request &request);
    [[nodiscard]] http_reply reclaim(const http_request &request);
    [[nodiscard]] http_reply crashOnRequest(const http_request &request);

    [[nodiscard]] http_reply notRunReply(const std::shared_ptr<engine_job> &job,
                                         const std::string &reason) const;
    [[nodiscard]] std::string unavailableReason() const;
    [[nodiscard]] std::shared_ptr<engine_job> makeJob(const http_request &request,
                                                      const kernel::json &body);
    [[nodiscard]] std::int64_t importKv(const http_request &request);
    bool streamPieces(const std::shared_ptr<engine_job> &job, const write_piece &write);
    [[nodiscard]] http_reply bufferedAnswer(const std::shared_ptr<engine_job> &job);
    void recordEnd(const engine_job &job, const job_progress &end) const;
    void crash(const std::string &reason);
    void startOrder(std::uint64_t id, const std::string &kind, const std::string &argument);
    void finishDueOrder();
    void applyRole(const std::string &role);

    engine_settings m_settings;
    const history &m_history;
    mutable std::mutex m_mutex;
    std::string m_role;
    std::string m_model;
    std::uint64_t m_highestFence = 0;
    std::map<std::uint64_t, order_record> m_orders;
    std::uint64_t m_openOrderId = 0;
    bool m_draining = false;
    bool m_leaving = false;
    std::atomic<std::int64_t> m_leaveAtMs{0};
    std::int64_t m_restartAtMs = 0;
    std::int64_t m_incarnation = 0;
    std::map<std::string, std::int64_t> m_kv; ///< tokens by request id
    std::unique_ptr<batch> m_batch;
    std::unique_ptr<http_server> m_server;
    std::atomic<bool> m_stopped{false};
    std::thread m_timerThread;
};

} // namespace yuccascale::fakes
