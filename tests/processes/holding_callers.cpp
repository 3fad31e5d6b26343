#include "processes/holding_callers.hpp"

#include "fakes/history.hpp"

namespace yuccascale::processes {

namespace {

using fakes::wallMs;

constexpr milliseconds reconnectPause{50};
constexpr milliseconds burstPause{10};
constexpr int shortOutputTokens = 24;
constexpr std::size_t shortestLongOutput = 150;
constexpr std::size_t longOutputSpread = 350;
constexpr std::size_t promptWords = 60;
constexpr std::size_t slowSendingPercent = 25;
constexpr std::string_view finishField = "\"finish\":true";
constexpr std::string_view errorField = "{\"error\":";

std::string requestText(const fakes::http_call &call)
{
    std::string text = call.method + " " + call.path + " HTTP/1.1\r\nHost: " + call.address
            + "\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(call.body.size()) + "\r\n";
    for (const auto &[name, value] : call.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    return text + "\r\n" + call.body;
}

} // namespace

/// One caller, with the connection that it keeps.
class holding_callers::caller
{
public:
    caller(holding_callers &owner, std::size_t node, unsigned number)
        : m_owner(owner)
        , m_node(node)
        , m_number(number)
        , m_random(owner.m_mix.seed * 1'000 + number)
    { }

    void run()
    {
        while (!m_owner.m_stopped) {
            const std::size_t percent = draw(100);
            if (percent < m_owner.m_mix.newConnectionPercent)
                m_kept.close();
            serveOnce();
            pause();
        }
    }

private:
    struct prepared_request
    {
        request_record record;
        std::string text;
    };

    [[nodiscard]] std::size_t draw(std::size_t below)
    {
        return below == 0 ? 0 : m_random() % below;
    }

    void pause()
    {
        const auto longest = static_cast<std::size_t>(m_owner.m_mix.longestPause.count());
        std::this_thread::sleep_for(m_owner.m_burst ? burstPause : milliseconds(draw(longest)));
    }

    [[nodiscard]] request_kind drawKind()
    {
        const std::size_t percent = draw(100);
        if (percent < m_owner.m_mix.ticketPercent)
            return request_kind::Ticket;
        return percent < m_owner.m_mix.ticketPercent + m_owner.m_mix.longChatPercent
                ? request_kind::LongChat
                : request_kind::ShortChat;
    }

    [[nodiscard]] fakes::http_call makeCall(const request_record &record)
    {
        if (record.kind == request_kind::Ticket) {
            fakes::http_call call = m_owner.m_system.ticket(m_node, record.id);
            call.headers.emplace("X-Request-Id", record.id);
            return call;
        }
        const bool isShort = record.kind == request_kind::ShortChat;
        const int tokens = isShort ? shortOutputTokens
                                   : static_cast<int>(shortestLongOutput + draw(longOutputSpread));
        std::string prompt;
        for (std::size_t word = 0; word < promptWords; ++word)
            prompt += std::to_string(m_random()) + " ";
        return m_owner.m_system.chat(m_node, record.id, prompt, tokens,
                                     isShort ? "chat" : m_owner.m_mix.longChatRoute);
    }

    [[nodiscard]] prepared_request prepare()
    {
        prepared_request made;
        made.record.id = "held-" + std::to_string(m_owner.m_mix.seed) + "-"
                + std::to_string(m_number) + "-" + std::to_string(m_count++);
        made.record.node = m_node;
        made.record.kind = drawKind();
        made.text = requestText(makeCall(made.record));
        return made;
    }

    /// Sends one request, or two that are pipelined, on the kept connection or a new one.
    void serveOnce()
    {
        std::vector<prepared_request> requests(1, prepare());
        if (draw(100) < m_owner.m_mix.pipelinedPercent) {
            requests.push_back(prepare());
            requests.back().record.style = sending_style::Pipelined;
        } else if (m_owner.m_mix.longestSending.count() > 0 && draw(100) < slowSendingPercent) {
            requests.front().record.style
                    = draw(2) == 0 ? sending_style::SlowHead : sending_style::SlowBody;
        }
        if (!connect(requests))
            return std::this_thread::sleep_for(reconnectPause);
        for (prepared_request &one : requests)
            send(one);
        bool keepsOpen = true;
        for (prepared_request &one : requests) {
            if (one.record.sentMs != 0)
                keepsOpen = read(one.record) && keepsOpen;
            m_owner.add(one.record);
        }
        if (!keepsOpen)
            m_kept.close();
    }

    /// \returns false after recording that nothing accepts a connection.
    [[nodiscard]] bool connect(std::vector<prepared_request> &requests)
    {
        const std::int64_t now = wallMs();
        if (m_kept.isOpen() && m_kept.hasUnreadBytesOrEnd())
            m_kept.close();
        const bool isNew = !m_kept.isOpen();
        if (isNew)
            m_kept = fakes::keep_alive_connection::open(m_owner.m_system.callerAddress(m_node));
        for (prepared_request &one : requests) {
            one.record.newConnection = isNew;
            one.record.startedMs = now;
        }
        if (m_kept.isOpen())
            return true;
        requests.front().record.answeredMs = wallMs();
        requests.front().record.problem = "no connection";
        m_owner.add(requests.front().record);
        return false;
    }

    void send(prepared_request &request)
    {
        const std::string_view text = request.text;
        const std::size_t split = splitOf(request);
        bool sent = m_kept.send(text.substr(0, split));
        if (sent && split < text.size()) {
            const auto longest = static_cast<std::size_t>(m_owner.m_mix.longestSending.count());
            std::this_thread::sleep_for(milliseconds(draw(longest)));
            sent = m_kept.send(text.substr(split));
        }
        if (sent)
            request.record.sentMs = wallMs();
        else
            m_kept.close();
    }

    [[nodiscard]] static std::size_t splitOf(const prepared_request &request)
    {
        switch (request.record.style) {
        case sending_style::SlowHead:
            return request.text.find("\r\n") + 1;
        case sending_style::SlowBody:
            return request.text.find("\r\n\r\n") + 5;
        default:
            return request.text.size();
        }
    }

    /// \returns whether the connection can bring a further answer.
    [[nodiscard]] bool read(request_record &record)
    {
        const fakes::connection_answer answer = m_kept.read(m_owner.m_mix.patience);
        record.answeredMs = wallMs();
        record.status = answer.status;
        record.end = answer.end;
        const bool streamed = record.kind != request_kind::Ticket && answer.status == 200;
        record.complete = answer.complete
                && (!streamed || answer.body.find(finishField) != std::string::npos);
        const std::size_t problemAt = answer.body.rfind(errorField);
        if (problemAt != std::string::npos)
            record.problem = answer.body.substr(problemAt);
        return answer.complete && answer.keepsOpen;
    }

    holding_callers &m_owner;
    std::size_t m_node;
    unsigned m_number;
    std::mt19937 m_random;
    unsigned m_count = 0;
    fakes::keep_alive_connection m_kept;
};

holding_callers::holding_callers(const cluster &system, const caller_mix &mix)
    : m_system(system)
    , m_mix(mix)
{
    for (std::size_t node = 0; node < system.size(); ++node) {
        for (int each = 0; each < mix.callersPerNode; ++each) {
            const auto number = static_cast<unsigned>(m_threads.size());
            m_threads.emplace_back([this, node, number] { caller(*this, node, number).run(); });
        }
    }
}

holding_callers::~holding_callers()
{
    stop();
}

void holding_callers::stop()
{
    m_stopped = true;
    for (std::thread &thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

std::vector<request_record> holding_callers::records() const
{
    const std::scoped_lock guard(m_mutex);
    return m_records;
}

void holding_callers::add(const request_record &record)
{
    const std::scoped_lock guard(m_mutex);
    m_records.push_back(record);
}

} // namespace yuccascale::processes
