#include "yuccascale/http/document_interface.hpp"

#include "yuccascale/http/caller_answers.hpp"
#include "yuccascale/http/events.hpp"
#include "yuccascale/kernel/json_text.hpp"
#include "yuccascale/runtime/worker_pool.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <utility>

namespace yuccascale::http {

using namespace kernel;

namespace {

constexpr milliseconds commitTimeout{2'500};
constexpr milliseconds readTimeout{1'500};
/// Bounds the requests that are answered at the same time.
constexpr runtime::thread_share workerThreads{8, 1, runtime::worker_group::Operators};
/// Documents are read one at a time, since a parsed one takes several times the memory of its text.
constexpr runtime::thread_share readerThreads{1, 1, runtime::worker_group::Operators};
constexpr int redirectStatus = 307;
constexpr seconds memoryRetry{1};
const net::header_list jsonHeaders{{"Content-Type", "application/json"}};

[[nodiscard]] net::http_reply errorReply(const error &problem)
{
    const json body{{"error",
                     {{"kind", errorKindName(problem.kind)},
                      {"where", problem.where},
                      {"message", problem.message}}}};
    return {statusOf(problem.kind), jsonHeaders, kernel::toText(body)};
}

/// Tells the caller that its request has not run and when to return.
[[nodiscard]] net::http_reply shortOfMemory()
{
    net::http_reply reply
            = errorReply({error_kind::Unavailable, "document",
                          "the memory for requests is used up; send the request again later"});
    reply.headers.push_back({"Retry-After", std::to_string(memoryRetry.count())});
    return reply;
}

[[nodiscard]] net::http_reply redirect(const std::string &address, const std::string &target)
{
    return {redirectStatus, {{"Location", "http://" + address + target}}, {}};
}

} // namespace

class document_interface::implementation
{
public:
    implementation(document_services services, std::unique_ptr<operator_protocol> protocol)
        : m_services(std::move(services))
        , m_protocol(std::move(protocol))
        , m_workers(workerThreads, m_services.workers)
        , m_readers(readerThreads, m_services.workers)
    { }

    void answerBefore(instant end) noexcept { m_end = end.time_since_epoch().count(); }

    void serve(const std::shared_ptr<net::http_exchange> &exchange)
    {
        const std::optional<document_call> call = m_protocol->callOf(exchange->request());
        if (call == document_call::Get && !holdDocument(*exchange))
            return exchange->reply(shortOfMemory());
        if (call == document_call::Put)
            m_readers.run([this, exchange] { answerSafely(exchange, [&] { put(exchange); }); });
        else
            m_workers.run([this, exchange] { answerSafely(exchange, [&] { get(exchange); }); });
    }

private:
    using exchange_pointer = std::shared_ptr<net::http_exchange>;

    static void reply(const exchange_pointer &exchange, net::http_reply reply)
    {
        boost::asio::post(exchange->loop(), [exchange, reply = std::move(reply)]() mutable {
            exchange->reply(std::move(reply));
        });
    }

    /// An unexpected exception fails one request, not the process.
    void answerSafely(const exchange_pointer &exchange, const std::function<void()> &answer)
    {
        try {
            answer();
        } catch (const std::exception &problem) {
            recordOutcome("unread", "failed", problem.what());
            reply(exchange, errorReply({error_kind::Internal, "document", problem.what()}));
        }
    }

    void put(const exchange_pointer &exchange)
    {
        error problem;
        state::put_document document;
        const bool readable = succeeded(
                [&]() -> result<void> {
                    BOOST_LEAF_ASSIGN(document, m_protocol->readDocument(exchange->request().body));
                    return {};
                },
                problem);
        if (!readable) {
            recordOutcome("unread", "refused", problem.where + ": " + problem.message);
            return reply(exchange, errorReply(problem));
        }
        // another document may be read while this one is committed
        m_workers.run([this, exchange, document = std::move(document)]() mutable {
            answerSafely(exchange, [&] { commit(exchange, std::move(document)); });
        });
    }

    /// \returns whether versions can be compared with that of the stored document.
    [[nodiscard]] bool isComparable(const stored_document &stored) const
    {
        return !stored.bytes->empty() && m_protocol->namesVersion(*stored.bytes, stored.version);
    }

    /// Makes a document replace what is stored here, when their versions do not tell that it does.
    void nameReplaced(state::put_document &document) const
    {
        const stored_document stored = m_services.stored();
        if (document.version <= stored.version && !isComparable(stored))
            document.replacesRevision = {stored.revision};
    }

    void commit(const exchange_pointer &exchange, state::put_document document)
    {
        document.wallMs = m_services.clock.wallNow().time_since_epoch().count();
        nameReplaced(document);
        const bool mustChange = !document.replacesRevision.empty();
        const std::uint64_t version = document.version;
        const state::command command{"document/" + std::to_string(version), std::move(document)};
        error problem;
        state::command_result answer;
        const bool answered = succeeded(
                [&]() -> result<void> {
                    BOOST_LEAF_ASSIGN(answer,
                                      m_services.commit(command, deadlineAfter(commitTimeout)));
                    return {};
                },
                problem);
        if (!answered) {
            recordOutcome(std::to_string(version), "unanswered", problem.message);
            return reply(exchange,
                         errorReply({error_kind::Unavailable, "document", problem.message}));
        }
        if (answer.accepted && mustChange && !hasChanged(answer))
            return refuseUnstored(exchange, version);
        if (answer.accepted)
            return acknowledgeWhenSettled(exchange, version, answer);
        recordOutcome(std::to_string(version), "refused", answer.message);
        reply(exchange, errorReply({answer.kind, "document", answer.message}));
    }

    /// Another change came first, or the leader runs a former build: that a document changes
    /// nothing then does not say that it is stored.
    void refuseUnstored(const exchange_pointer &exchange, std::uint64_t version)
    {
        const std::string problem = "not stored, since another change came first or a control node "
                                    "runs a former build; send it again";
        recordOutcome(std::to_string(version), "unanswered", problem);
        reply(exchange, errorReply({error_kind::Unavailable, "document", problem}));
    }

    /// No thread waits for it.
    void acknowledgeWhenSettled(const exchange_pointer &exchange, std::uint64_t version,
                                const state::command_result &answer)
    {
        const std::uint64_t revision = answer.revision;
        const bool changed = hasChanged(answer);
        const auto acknowledge = [this, exchange, version, revision, changed](bool settled) {
            const std::string problem
                    = settled ? "" : "committed, but not in force everywhere yet; send it again";
            recordOutcome(std::to_string(version), settled ? "accepted" : "unanswered", problem,
                          changed);
            if (settled)
                return reply(exchange, {200, jsonHeaders, toText({{"revision", revision}})});
            reply(exchange, errorReply({error_kind::Unavailable, "document", problem}));
        };
        m_services.whenSettled(revision, version, instant(nanoseconds(m_end)), acknowledge);
    }

    void get(const exchange_pointer &exchange)
    {
        const net::http_request &httpRequest = exchange->request();
        if (!m_protocol->callOf(httpRequest))
            return reply(exchange,
                         errorReply({error_kind::NotFound, std::string(httpRequest.path()),
                                     "no such call; see docs/platform.md"}));
        const std::string leader = m_services.leaderAddress();
        if (!leader.empty())
            return reply(exchange, redirect(leader, httpRequest.target));
        error problem;
        std::shared_ptr<const std::string> bytes;
        const bool confirmed = succeeded(
                [&]() -> result<void> {
                    BOOST_LEAF_ASSIGN(bytes, m_services.read(deadlineAfter(readTimeout)));
                    return {};
                },
                problem);
        if (!confirmed || bytes->empty()) {
            return reply(exchange,
                         errorReply({error_kind::Unavailable, "document",
                                     confirmed ? "no document has been committed yet; send one"
                                               : problem.message}));
        }
        reply(exchange, {200, jsonHeaders, *bytes});
    }

    /// Many callers may ask for the document at once, so what their answers will hold is counted
    /// before threads copy it. A redirect holds nothing.
    [[nodiscard]] bool holdDocument(net::http_exchange &exchange) const
    {
        return !m_services.leaderAddress().empty()
                || exchange.holdRequest(m_services.stored().bytes->size());
    }

    [[nodiscard]] instant deadlineAfter(milliseconds timeout) const
    {
        return std::min(m_services.clock.now() + timeout, instant(nanoseconds(m_end)));
    }

    /// \returns whether a document replaced the stored one.
    [[nodiscard]] static bool hasChanged(const state::command_result &answer)
    {
        return answer.detail.is_object() && answer.detail.value("changed", false);
    }

    void recordOutcome(const std::string &version, std::string_view outcome,
                       const std::string &message, bool changed = false)
    {
        m_services.events.record(documentAnswered,
                                 {{"version", version},
                                  {"outcome", outcome},
                                  {"changed", changed ? "yes" : "no"},
                                  {"message", message}});
    }

    document_services m_services;
    std::unique_ptr<operator_protocol> m_protocol;
    std::atomic<std::int64_t> m_end{instant::max().time_since_epoch().count()}; ///< ns, boot clock
    runtime::worker_pool m_workers;
    runtime::worker_pool m_readers; ///< destroyed first, since its tasks use m_workers
};

document_interface::document_interface(document_services services,
                                       std::unique_ptr<operator_protocol> protocol)
    : m_implementation(std::make_unique<implementation>(std::move(services), std::move(protocol)))
{ }

document_interface::~document_interface() = default;

void document_interface::answerBefore(instant end)
{
    m_implementation->answerBefore(end);
}

void document_interface::serve(const std::shared_ptr<net::http_exchange> &exchange)
{
    m_implementation->serve(exchange);
}

} // namespace yuccascale::http
