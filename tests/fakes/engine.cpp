#include "fakes/engine.hpp"

#include "fakes/answer_text.hpp"
#include "fakes/http_client.hpp"

#include <algorithm>
#include <array>
#include <thread>

namespace yuccascale::fakes {

using kernel::json;

namespace {

constexpr std::int64_t roleSlowdown = 4;
constexpr std::int64_t defaultPieces = 32;
constexpr std::int64_t kvTokensPerMs = 200;
constexpr std::chrono::milliseconds timerInterval{50};

std::int64_t headerNumber(const http_request &request, const std::string &name)
{
    return std::strtoll(request.header(name).c_str(), nullptr, 10);
}

json usageOf(const engine_job &job, const job_progress &end)
{
    return {{"prompt_tokens", promptTokens(job.prompt)},
            {"cached_tokens", end.cachedTokens},
            {"completion_tokens", end.nextPiece - job.firstPiece}};
}

} // namespace

engine::engine(engine_settings settings, const history &eventHistory)
    : m_settings(std::move(settings))
    , m_history(eventHistory)
    , m_role(m_settings.role)
    , m_model(m_settings.model)
{
    restart();
    m_timerThread = std::thread([this] { runTimer(); });
}

engine::~engine()
{
    m_stopped = true;
    m_timerThread.join();
    m_batch->interruptAll();
    m_server.reset();
}

void engine::runTimer()
{
    while (!m_stopped) {
        tick();
        std::this_thread::sleep_for(timerInterval);
    }
}

void engine::tick()
{
    if (m_leaveAtMs != 0 && wallMs() >= m_leaveAtMs) {
        m_leaveAtMs = 0;
        crash("reclaimed");
        return;
    }
    {
        const std::scoped_lock guard(m_mutex);
        finishDueOrder();
        if (m_restartAtMs == 0)
            return;
    }
    m_server.reset();
    if (wallMs() >= m_restartAtMs)
        restart();
}

void engine::restart()
{
    const std::scoped_lock guard(m_mutex);
    m_restartAtMs = 0;
    m_leaving = false;
    m_draining = false;
    m_incarnation = wallMs();
    m_orders.clear();
    m_openOrderId = 0;
    m_kv.clear();
    m_batch = std::make_unique<batch>(m_settings.work);
    applyRole(m_role);
    m_server = std::make_unique<http_server>(
            m_settings.port, [this](const http_request &request) { return handle(request); });
    m_settings.port = m_server->port();
    m_history.record(m_settings.name, "started",
                     {{"port", m_settings.port}, {"incarnation", m_incarnation}});
}

void engine::crash(const std::string &reason)
{
    m_history.record(m_settings.name, "crashed", {{"why", reason}});
    if (m_settings.restartMs == 0)
        std::_Exit(1);
    {
        const std::scoped_lock guard(m_mutex);
        m_restartAtMs = wallMs() + m_settings.restartMs;
    }
    m_batch->interruptAll();
}

http_reply engine::handle(const http_request &request)
{
    struct route
    {
        std::string_view method;
        std::string_view pathPrefix;
        http_reply (engine::*serve)(const http_request &);
    };
    static constexpr std::array<route, 10> routes{{
            {"POST", "/v1/chat/completions", &engine::answer},
            {"POST", "/v1/completions", &engine::answer},
            {"POST", "/v1/cancel/", &engine::cancel},
            {"GET", "/load", &engine::load},
            {"GET", "/cache-events", &engine::cacheEvents},
            {"POST", "/admin/orders", &engine::acceptOrder},
            {"GET", "/admin/orders/", &engine::orderState},
            {"GET", "/kv/", &engine::exportKv},
            {"POST", "/standin/reclaim", &engine::reclaim},
            {"POST", "/standin/crash", &engine::crashOnRequest},
    }};
    {
        const std::scoped_lock guard(m_mutex);
        if (m_restartAtMs != 0)
            return truncatedReply();
    }
    for (const route &candidate : routes) {
        if (request.method == candidate.method && request.path.starts_with(candidate.pathPrefix))
            return (this->*candidate.serve)(request);
    }
    return jsonReply(404, {{"error", "no such path"}});
}

std::string engine::unavailableReason() const
{
    const std::scoped_lock guard(m_mutex);
    if (m_draining)
        return "draining";
    if (m_openOrderId != 0 && m_orders.at(m_openOrderId).kind != "drain")
        return "changing";
    return {};
}

http_reply engine::notRunReply(const std::shared_ptr<engine_job> &job,
                               const std::string &reason) const
{
    m_history.record(m_settings.name, "not_run", {{"request_id", job->id}, {"why", reason}});
    http_reply reply = jsonReply(503, {{"run", false}, {"why", reason}});
    reply.headers["X-Request-Id"] = job->id;
    return reply;
}

std::shared_ptr<engine_job> engine::makeJob(const http_request &request, const json &body)
{
    auto job = std::make_shared<engine_job>();
    job->id = request.header("x-request-id");
    job->priority = static_cast<int>(headerNumber(request, "x-priority"));
    job->prompt = promptOf(body);
    job->pieces = body.value("max_tokens", defaultPieces);
    job->firstPiece = headerNumber(request, "x-resume-from");
    job->nextPiece = job->firstPiece;
    job->prefillOnly = request.header("x-prefill-only") == "1";
    return job;
}

std::int64_t engine::importKv(const http_request &request)
{
    const std::string from = request.header("x-kv-from");
    if (from.empty())
        return 0;
    http_call call;
    call.address = from;
    call.path = "/kv/" + request.header("x-request-id");
    const http_answer answer = callHttp(call);
    const json body = json::parse(answer.body, nullptr, false);
    const std::int64_t tokens = answer.status == 200 ? body.value("tokens", 0) : 0;
    m_history.record(m_settings.name, "kv_imported",
                     {{"request_id", request.header("x-request-id")}, {"tokens", tokens}});
    return tokens;
}

http_reply engine::answer(const http_request &request)
{
    m_history.recordRequest(m_settings.name, request);
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return jsonReply(400, {{"error", "the request body is not a JSON object"}});
    const std::shared_ptr<engine_job> job = makeJob(request, body);
    if (const std::string reason = unavailableReason(); !reason.empty())
        return notRunReply(job, reason);
    if (job->prompt.find(crashMarker) != std::string::npos) {
        crash("request " + job->id);
        return truncatedReply();
    }
    job->importedTokens = importKv(request);
    if (!m_batch->submit(job))
        return notRunReply(job, "full");
    if (job->prefillOnly || !body.value("stream", false))
        return bufferedAnswer(job);
    http_reply reply;
    reply.contentType = "text/event-stream";
    reply.headers["X-Request-Id"] = job->id;
    reply.stream = [this, job](const write_piece &write) { return streamPieces(job, write); };
    return reply;
}

void engine::recordEnd(const engine_job &job, const job_progress &end) const
{
    static constexpr std::array<const char *, 4> names{"left", "finished", "cancelled", "cut"};
    json fields = usageOf(job, end);
    fields["request_id"] = job.id;
    fields["prompt_hash"] = promptHash(job.prompt);
    fields["from"] = job.firstPiece;
    fields["to"] = end.nextPiece;
    fields["prefill_only"] = job.prefillOnly;
    m_history.record(m_settings.name, names.at(static_cast<std::size_t>(end.state)), fields);
}

bool engine::streamPieces(const std::shared_ptr<engine_job> &job, const write_piece &write)
{
    const std::uint64_t hash = promptHash(job->prompt);
    const json body = {{"id", job->id}};
    std::int64_t sent = job->firstPiece;
    while (true) {
        const job_progress progress = m_batch->wait(job, sent);
        bool written = true;
        for (; written && sent < progress.nextPiece; ++sent) {
            json piece = body;
            piece["index"] = sent;
            piece["choices"] = {{{"delta", {{"content", answerPiece(hash, sent)}}}}};
            written = write("data: " + piece.dump() + "\n\n");
        }
        if (!written)
            m_batch->cancel(job->id);
        if (written && progress.state == job_state::Running)
            continue;
        recordEnd(*job, progress);
        if (!written || progress.state != job_state::Finished)
            return false;
        json last = body;
        last["finish"] = true;
        last["usage"] = usageOf(*job, progress);
        return write("data: " + last.dump() + "\n\ndata: [DONE]\n\n");
    }
}

http_reply engine::bufferedAnswer(const std::shared_ptr<engine_job> &job)
{
    job_progress progress;
    do {
        progress = m_batch->wait(job, progress.nextPiece);
    } while (progress.state == job_state::Running);
    recordEnd(*job, progress);
    if (progress.state != job_state::Finished)
        return truncatedReply();
    if (job->prefillOnly) {
        const std::scoped_lock guard(m_mutex);
        m_kv[job->id] = promptTokens(job->prompt);
    }
    std::string text;
    for (std::int64_t index = job->firstPiece; index < progress.nextPiece; ++index)
        text += answerPiece(promptHash(job->prompt), index);
    http_reply reply = jsonReply(200,
                                 {{"id", job->id},
                                  {"choices", {{{"message", {{"content", text}}}}}},
                                  {"usage", usageOf(*job, progress)}});
    reply.headers["X-Request-Id"] = job->id;
    return reply;
}

http_reply engine::cancel(const http_request &request)
{
    const bool found = m_batch->cancel(lastSegment(request.path));
    return jsonReply(found ? 200 : 404, {{"cancelled", found}});
}

http_reply engine::load(const http_request &)
{
    const std::int64_t now = wallMs();
    const batch_load sample = m_batch->loadAt(now - m_settings.loadLagMs);
    const std::scoped_lock guard(m_mutex);
    return jsonReply(200,
                     {{"engine", m_settings.name},
                      {"incarnation", m_incarnation},
                      {"age_ms", now - sample.atMs},
                      {"running", sample.running},
                      {"queued", sample.queued},
                      {"prefill_tokens_waiting", sample.prefillTokensWaiting},
                      {"decode_tokens_waiting", sample.decodeTokensWaiting},
                      {"role", m_role},
                      {"model", m_model},
                      {"leaving", m_leaving}});
}

http_reply engine::cacheEvents(const http_request &request)
{
    const std::uint64_t firstSequence = request.queryNumber("since", 0);
    json events = json::array();
    std::uint64_t next = firstSequence;
    for (const cache_event &event :
         m_batch->cacheEvents(firstSequence, m_settings.cacheEventLagMs)) {
        next = event.sequence + 1;
        if (m_settings.cacheEventGap != 0 && event.sequence % m_settings.cacheEventGap == 0)
            continue;
        events.push_back({{"seq", event.sequence},
                          {"prefix", event.prefix},
                          {"tokens", event.tokens},
                          {"added", event.added}});
    }
    return jsonReply(200, {{"next", next}, {"events", events}});
}

http_reply engine::exportKv(const http_request &request)
{
    std::int64_t tokens = 0;
    {
        const std::scoped_lock guard(m_mutex);
        const auto found = m_kv.find(lastSegment(request.path));
        if (found == m_kv.end())
            return jsonReply(404, {{"error", "no KV cache of this request"}});
        tokens = found->second;
        m_kv.erase(found);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(tokens / kvTokensPerMs));
    return jsonReply(200, {{"tokens", tokens}});
}

http_reply engine::acceptOrder(const http_request &request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return jsonReply(400, {{"error", "the request body is not a JSON object"}});
    const std::uint64_t id = body.value("order_id", 0ULL);
    const std::uint64_t fence = body.value("fence", 0ULL);
    const std::scoped_lock guard(m_mutex);
    finishDueOrder();
    const bool stale = fence < m_highestFence;
    json fields = body;
    fields["stale"] = stale;
    fields["repeat"] = m_orders.contains(id);
    m_history.record(m_settings.name, "order", fields);
    if (m_settings.fences && stale)
        return jsonReply(409, {{"state", "refused"}, {"fence", m_highestFence}});
    m_highestFence = std::max(m_highestFence, fence);
    if (!m_orders.contains(id)) {
        if (m_openOrderId != 0)
            return jsonReply(409, {{"state", "busy"}});
        startOrder(id, body.value("kind", ""), body.value("argument", ""));
    }
    return jsonReply(200, {{"state", id == m_openOrderId ? "running" : "done"}});
}

void engine::startOrder(std::uint64_t id, const std::string &kind, const std::string &argument)
{
    const std::map<std::string, std::int64_t> durationsMs{{"change_role", m_settings.roleChangeMs},
                                                          {"load_model", m_settings.loadModelMs},
                                                          {"load_adapter", m_settings.loadModelMs}};
    const auto time = durationsMs.find(kind);
    m_orders[id] = {kind, argument, wallMs() + (time == durationsMs.end() ? 0 : time->second)};
    m_openOrderId = id;
    if (kind == "drain" || kind == "resume")
        m_draining = kind == "drain";
    if (time != durationsMs.end()) {
        const int interruptedJobs = m_batch->interruptAll();
        m_history.record(m_settings.name, "change_started",
                         {{"order_id", id}, {"cut", interruptedJobs}});
    }
    finishDueOrder();
}

void engine::finishDueOrder()
{
    if (m_openOrderId == 0)
        return;
    const order_record &order = m_orders.at(m_openOrderId);
    if (wallMs() < order.doneAtMs)
        return;
    if (order.kind == "change_role")
        applyRole(order.argument);
    if (order.kind == "load_model")
        m_model = order.argument;
    m_history.record(m_settings.name, "order_done",
                     {{"order_id", m_openOrderId}, {"kind", order.kind}});
    m_openOrderId = 0;
}

void engine::applyRole(const std::string &role)
{
    m_role = role;
    m_batch->setSlowdown(role == "decode" ? roleSlowdown : 1, role == "prefill" ? roleSlowdown : 1);
}

http_reply engine::orderState(const http_request &request)
{
    const std::uint64_t id = std::strtoull(lastSegment(request.path).c_str(), nullptr, 10);
    const std::scoped_lock guard(m_mutex);
    finishDueOrder();
    if (!m_orders.contains(id))
        return jsonReply(200, {{"state", "unknown"}});
    return jsonReply(200, {{"state", id == m_openOrderId ? "running" : "done"}});
}

http_reply engine::reclaim(const http_request &request)
{
    constexpr std::uint64_t defaultNoticeMs = 5'000;
    const auto noticeMs
            = static_cast<std::int64_t>(request.queryNumber("notice_ms", defaultNoticeMs));
    const std::scoped_lock guard(m_mutex);
    m_leaving = true;
    m_leaveAtMs = wallMs() + noticeMs;
    m_history.record(m_settings.name, "leaving", {{"notice_ms", noticeMs}});
    return jsonReply(200, {{"leaving", true}});
}

http_reply engine::crashOnRequest(const http_request &)
{
    crash("told to");
    return truncatedReply();
}

} // namespace yuccascale::fakes
