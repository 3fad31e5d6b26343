#include "yuccascale/kernel/requests/endpoint_driver.hpp"

#include "yuccascale/kernel/json.hpp"
#include "yuccascale/kernel/requests/event_blocks.hpp"
#include "yuccascale/platform/names.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

/// \file
/// \brief Endpoint driver "platform": builds requests to the platform's servers and reads answers.

namespace yuccascale::platform {

namespace {

using namespace kernel::requests;

constexpr std::size_t maxAnswerBytes = 16U << 20U;
constexpr int okStatus = 200;
constexpr int misdirectedStatus = 421;
constexpr int firstServerErrorStatus = 500;
constexpr int unavailableStatus = 503;
constexpr std::string_view streamContentType = "text/event-stream";
/// Urgency of a route with priority 0, and the change of urgency for each step of priority.
constexpr int defaultUrgency = 3;
constexpr int urgencyStep = 2;
constexpr int maxUrgency = 9;
/// Figures of a load report beyond these bounds are taken as not reported.
constexpr int maxReportedSlots = 100'000;
constexpr int minPaceHundredths = 10;
constexpr int maxPaceHundredths = 10'000;
constexpr double hundredthsPerPace = 100;

[[nodiscard]] std::string_view valueOf(const header_list &fields, std::string_view name) noexcept
{
    const std::string *value = findHeader(fields, name);
    return value ? std::string_view(*value) : std::string_view();
}

[[nodiscard]] bool isSuccess(int status) noexcept
{
    return status >= 200 && status < 300;
}

/// Reads the figure after a comma and sets \a from behind it.
/// \returns the figure; nothing when there is none or it is not a whole number in the bounds.
[[nodiscard]] std::optional<int> parseNextFigure(const char *&from, const char *end, int least,
                                                 int most)
{
    if (from == end || *from != ',')
        return std::nullopt;
    const char *after = std::find(from + 1, end, ',');
    const std::string_view text(from + 1, after);
    from = after;
    int figure = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), figure);
    const bool valid = read.ec == std::errc() && read.ptr == text.data() + text.size()
            && figure >= least && figure <= most;
    return valid ? std::optional(figure) : std::nullopt;
}

[[nodiscard]] bool isCount(int figure) noexcept
{
    return figure >= 0 && figure <= maxReportedSlots;
}

/// The slots and the pace are optional; each is left out when it cannot be read.
[[nodiscard]] std::optional<endpoint_report> parseLoad(std::string_view text, kernel::instant now)
{
    endpoint_report report;
    report.load.measuredAt = now;
    const char *end = text.data() + text.size();
    const auto running = std::from_chars(text.data(), end, report.load.running);
    if (running.ec != std::errc() || running.ptr == end || *running.ptr != ',')
        return std::nullopt;
    const auto queued = std::from_chars(running.ptr + 1, end, report.load.queued);
    if (queued.ec != std::errc() || !isCount(report.load.running) || !isCount(report.load.queued))
        return std::nullopt;
    const char *from = queued.ptr;
    report.load.slots = parseNextFigure(from, end, 1, maxReportedSlots).value_or(0);
    const int hundredths
            = parseNextFigure(from, end, minPaceHundredths, maxPaceHundredths).value_or(0);
    report.load.pace = hundredths / hundredthsPerPace;
    return report;
}

/// \returns a decimal number that is not negative; nothing when \a text is not one.
[[nodiscard]] std::optional<double> parseRate(std::string_view text)
{
    double rate = 0;
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, rate, std::chars_format::fixed);
    const bool valid
            = read.ec == std::errc() && read.ptr == end && std::isfinite(rate) && rate >= 0;
    return valid ? std::optional(rate) : std::nullopt;
}

/// \returns the whole of \a text as a number; nothing when it is not one.
[[nodiscard]] std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, number);
    return read.ec == std::errc() && read.ptr == end ? std::optional(number) : std::nullopt;
}

/// \returns whether an event may come after the one with the id \a last. Ids of a stream increase;
/// a server that starts it over repeats them.
[[nodiscard]] bool follows(std::string_view id, std::string_view last)
{
    const auto number = parseNumber(id);
    const auto lastNumber = parseNumber(last);
    return number && lastNumber ? *number > *lastNumber : id != last;
}

class server_answer_reader final : public answer_reader
{
public:
    server_answer_reader(const request &callerRequest, const attempt_context &context)
        : m_requestId(callerRequest.endpointId)
        , m_streamed(callerRequest.streamed)
        , m_attempt(context.attempt)
        , m_nextPiece(context.resumeFrom)
        , m_continues(context.resumeFrom > 0)
        , m_resumeMark(context.lastPieceId)
    { }

    [[nodiscard]] head_decision head(const answer_head &head, std::vector<event> &out) override
    {
        m_head = head;
        m_notRun = head.status == misdirectedStatus
                || findHeader(head.headers, headers::notRun) != nullptr;
        if (!head.requestId.empty() && head.requestId != m_requestId)
            return head_decision::Skip;
        const bool encoded = findHeader(head.headers, "Content-Encoding") != nullptr;
        const bool signatureMissing
                = isSuccess(head.status) && findHeader(head.headers, headers::signature) == nullptr;
        // without an id, only the first answer of a connection is certainly this attempt's
        const bool otherAnswer = head.requestId.empty() && !(m_notRun && head.firstOnConnection);
        const bool noStream = m_continues && isSuccess(head.status) && !m_notRun
                && (head.status != okStatus || !head.contentType.starts_with(streamContentType));
        if (otherAnswer || encoded || signatureMissing || noStream) {
            fail(attempt_failure::InvalidAnswer, out);
            return head_decision::Stop;
        }
        if (streaming())
            out.emplace_back(stream_began{m_attempt, {head.status, head.headers}});
        return head_decision::Take;
    }

    [[nodiscard]] bool feed(std::string_view bytes, std::vector<event> &out) override
    {
        if (streaming())
            return feedStream(bytes, out);
        m_body += bytes;
        if (m_body.size() <= maxAnswerBytes)
            return true;
        fail(attempt_failure::InvalidAnswer, out);
        return false;
    }

    void end(std::vector<event> &out) override
    {
        if (m_done)
            return;
        if (m_notRun) {
            const bool replaced = m_head.status == misdirectedStatus;
            return fail(replaced ? attempt_failure::Replaced : attempt_failure::ReportedNotRun,
                        out);
        }
        if (insidePiece())
            return fail(attempt_failure::InvalidAnswer, out);
        m_done = true;
        if (streaming()) {
            out.emplace_back(stream_finished{m_attempt, {}, {}});
            return;
        }
        complete_answer answer{m_head.status, {}, std::move(m_body), m_head.headers};
        if (m_head.status >= firstServerErrorStatus)
            out.emplace_back(attempt_failed{m_attempt, attempt_failure::Answered, m_head.retryAfter,
                                            std::move(answer)});
        else
            out.emplace_back(answer_arrived{m_attempt, std::move(answer), {}});
    }

    [[nodiscard]] bool insidePiece() const noexcept override
    {
        return streaming() && m_blocks.pending() > 0;
    }

    [[nodiscard]] bool done() const noexcept override { return m_done; }

    [[nodiscard]] std::optional<endpoint_report> load(kernel::instant now) const override
    {
        return parseLoad(valueOf(m_head.headers, headers::load), now);
    }

    [[nodiscard]] std::size_t heldBytes() const noexcept override
    {
        return m_body.size() + m_blocks.pending();
    }

private:
    [[nodiscard]] bool streaming() const noexcept
    {
        return m_streamed && isSuccess(m_head.status) && !m_notRun;
    }

    [[nodiscard]] bool feedStream(std::string_view bytes, std::vector<event> &out)
    {
        for (sse_event &block : m_blocks.feed(bytes)) {
            if (!block.id.empty() && !follows(block.id, m_resumeMark)) {
                fail(attempt_failure::InvalidAnswer, out);
                return false;
            }
            if (!block.id.empty())
                m_resumeMark = std::move(block.id);
            out.emplace_back(
                    piece_arrived{m_attempt, m_nextPiece++, std::move(block.bytes), m_resumeMark});
        }
        if (m_blocks.pending() <= maxAnswerBytes)
            return true;
        fail(attempt_failure::InvalidAnswer, out);
        return false;
    }

    void fail(attempt_failure failure, std::vector<event> &out)
    {
        m_done = true;
        out.emplace_back(attempt_failed{m_attempt, failure, m_head.retryAfter, {}});
    }

    std::string m_requestId;
    bool m_streamed;
    int m_attempt;
    std::int64_t m_nextPiece; ///< index of the next piece in the whole answer
    bool m_continues;         ///< the caller has the beginning of the stream
    std::string m_resumeMark; ///< id of the last event
    answer_head m_head;
    sse_event_splitter m_blocks;
    std::string m_body;
    bool m_notRun = false;
    bool m_done = false;
};

class server_driver final : public endpoint_driver
{
public:
    [[nodiscard]] outbound_request prepare(const request &callerRequest,
                                           const attempt_context &context) const override
    {
        outbound_request outbound;
        outbound.method = callerRequest.method;
        outbound.path = callerRequest.path;
        outbound.body = callerRequest.body;
        for (const header_field &field : callerRequest.headers)
            outbound.headers.emplace_back(field.name, field.value);
        const auto addHeader = [&](std::string_view name, std::string value) {
            outbound.headers.emplace_back(std::string(name), std::move(value));
        };
        const auto leftMs = std::chrono::floor<kernel::milliseconds>(context.timeLeft).count();
        outbound.timeLeftHeader = headers::timeLeft;
        addHeader(headers::timeLeft, std::to_string(std::max<std::int64_t>(leftMs, 1)));
        addHeader(headers::expectedServer, context.endpoint);
        if (!callerRequest.organisation.empty())
            addHeader(headers::organisation, callerRequest.organisation);
        if (!context.lastPieceId.empty())
            addHeader(headers::lastEventId, context.lastPieceId);
        if (!context.cacheAddress.empty())
            addHeader(headers::cacheSource, context.cacheAddress);
        if (callerRequest.route.kind == kernel::state::backend_kind::Model)
            addHeader(headers::urgency, std::to_string(urgencyOf(callerRequest.route)));
        return outbound;
    }

    [[nodiscard]] std::unique_ptr<answer_reader>
    reader(const request &callerRequest, const attempt_context &context) const override
    {
        return std::make_unique<server_answer_reader>(callerRequest, context);
    }

    [[nodiscard]] outbound_request preparePrefill(const request &callerRequest,
                                                  const attempt_context &context) const override
    {
        outbound_request outbound = prepare(callerRequest, context);
        outbound.headers.emplace_back(headers::stage, "prefill");
        return outbound;
    }

    [[nodiscard]] std::optional<prefilled_prompt>
    readPrefillAnswer(std::string_view endpointId, const answer_head &head, std::string_view body,
                      const std::string &address) const override
    {
        const kernel::json document = kernel::json::parse(body, nullptr, false);
        const bool ownAnswer = head.requestId == endpointId;
        if (!ownAnswer || !isSuccess(head.status) || !document.is_object())
            return std::nullopt;
        const auto handle = document.find("kv_handle");
        if (handle == document.end() || !handle->is_string())
            return std::nullopt;
        const auto name = handle->get<std::string>();
        outbound_request release;
        release.method = "DELETE";
        release.path = std::string(calls::kvHandle) + name;
        return prefilled_prompt{{std::string(headers::kvSource), address + "/" + name}, release};
    }

    [[nodiscard]] endpoint_notice notice(const answer_head &head) const override
    {
        endpoint_notice notice;
        const std::string_view leaving = valueOf(head.headers, headers::leaving);
        notice.leaving = leaving == "1";
        if (!leaving.empty() && !notice.leaving)
            notice.unreadableHeaders.emplace_back(headers::leaving);
        readRequestLimit(head, notice);
        if (head.status != unavailableStatus || !findHeader(head.headers, headers::retryAfter))
            return notice;
        const auto pause = parseRetryAfter(valueOf(head.headers, headers::retryAfter));
        notice.pause = pause.value_or(kernel::nanoseconds::zero());
        if (!pause)
            notice.unreadableHeaders.emplace_back(headers::retryAfter);
        return notice;
    }

    [[nodiscard]] std::optional<endpoint_report> pacedLoad(const answer_head &head,
                                                           kernel::instant now) const override
    {
        auto report = parseLoad(valueOf(head.headers, headers::load), now);
        return report && report->load.pace > 0 ? report : std::nullopt;
    }

    /// No request is needed: a server stops when its connection is closed.
    [[nodiscard]] std::optional<outbound_request> cancel(const request &) const override
    {
        return std::nullopt;
    }

    [[nodiscard]] kernel::result<endpoint_report> loadReport(kernel::instant,
                                                             std::string_view) const override
    {
        return kernel::fail(kernel::error_kind::NotFound, "load report",
                            "the platform's servers have no load report; they send their load with "
                            "each answer");
    }

private:
    /// A misdirected request was answered by another server, whose limit is not this one's.
    static void readRequestLimit(const answer_head &head, endpoint_notice &notice)
    {
        if (head.status == misdirectedStatus)
            return;
        notice.requestLimit = noRequestLimit;
        const std::string *named = findHeader(head.headers, headers::requestLimit);
        if (named == nullptr)
            return;
        notice.requestLimit = parseRate(*named);
        if (!notice.requestLimit)
            notice.unreadableHeaders.emplace_back(headers::requestLimit);
    }

    [[nodiscard]] static int urgencyOf(const kernel::state::route &route) noexcept
    {
        const std::int64_t urgency = defaultUrgency - urgencyStep * std::int64_t{route.priority};
        return static_cast<int>(std::clamp<std::int64_t>(urgency, 0, maxUrgency));
    }
};

const endpoint_driver_registry::registration addServer{
        "platform", [] { return std::make_unique<server_driver>(); }};

} // namespace

} // namespace yuccascale::platform
