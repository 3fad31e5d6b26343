#include "yuccascale/net/http_client.hpp"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace yuccascale::net {

namespace {

/// Buffers an answer.
class buffering_receiver final : public answer_receiver,
                                 public std::enable_shared_from_this<buffering_receiver>
{
public:
    buffering_receiver(io_context &loop, std::function<void(buffered_answer)> done,
                       std::string requestId, std::size_t maxBodyBytes)
        : m_timer(loop)
        , m_done(std::move(done))
        , m_requestId(std::move(requestId))
        , m_maxBodyBytes(maxBodyBytes)
    { }

    void startTimeout(std::shared_ptr<http_call> call, kernel::milliseconds timeout)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this(),
                            call = std::move(call)](const boost::system::error_code &problem) {
            if (problem)
                return;
            call->cancel();
            self->ended(call_end::Broken);
        });
    }

    [[nodiscard]] verdict head(const response_head &head) override
    {
        const std::string_view answered = head.header("X-Request-Id");
        if (!m_requestId.empty() && !answered.empty() && answered != m_requestId)
            return verdict::Skip;
        m_answer.status = head.status;
        m_answer.headers = head.headers;
        return verdict::Take;
    }

    [[nodiscard]] bool body(std::string_view bytes) override
    {
        if (m_answer.body.size() + bytes.size() <= m_maxBodyBytes) {
            m_answer.body += bytes;
            return true;
        }
        ended(call_end::Malformed);
        return false;
    }

    void ended(call_end outcome) override
    {
        m_timer.cancel();
        m_answer.end = outcome;
        if (const auto done = std::exchange(m_done, nullptr))
            done(std::move(m_answer));
    }

private:
    boost::asio::steady_timer m_timer;
    std::function<void(buffered_answer)> m_done;
    std::string m_requestId;
    std::size_t m_maxBodyBytes;
    buffered_answer m_answer;
};

} // namespace

std::shared_ptr<http_call> callBuffered(http_client &client, io_context &loop,
                                        outgoing_request request, kernel::milliseconds timeout,
                                        std::function<void(buffered_answer)> done,
                                        std::size_t maxBodyBytes)
{
    const auto receiver = std::make_shared<buffering_receiver>(loop, std::move(done),
                                                               request.requestId, maxBodyBytes);
    std::shared_ptr<http_call> call = client.start(std::move(request), receiver);
    receiver->startTimeout(call, timeout);
    return call;
}

} // namespace yuccascale::net
