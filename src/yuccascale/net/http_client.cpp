#include "yuccascale/net/http_client.hpp"

#include "yuccascale/net/client_connection.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace yuccascale::net {

using boost::system::error_code;

std::string_view response_head::header(std::string_view name) const noexcept
{
    const std::string *value = findHeader(headers, name);
    return value ? std::string_view(*value) : std::string_view();
}

void http_client::state::addIdle(const std::shared_ptr<connection> &idleConnection)
{
    auto &list = idle[idleConnection->address()];
    if (stopped || list.size() >= limits.idlePerAddress)
        return idleConnection->close();
    list.push_back(idleConnection);
    ++idleCount;
}

std::shared_ptr<http_client::connection>
http_client::state::takeIdle(const outgoing_request &request)
{
    const auto found = idle.find(request.address);
    if (found == idle.end())
        return nullptr;
    auto &list = found->second;
    for (std::size_t index = list.size(); index > 0; --index) {
        if (list[index - 1]->hasCarried(request.requestId))
            continue;
        std::shared_ptr<connection> newest = list[index - 1];
        list.erase(list.begin() + static_cast<std::ptrdiff_t>(index - 1));
        --idleCount;
        if (newest->isReusable())
            return newest;
        newest->close();
    }
    return nullptr;
}

void http_client::state::removeIdle(const connection &ended)
{
    const auto found = idle.find(ended.address());
    if (found == idle.end())
        return;
    idleCount -= std::erase_if(found->second, [&](const auto &idleConnection) {
        return idleConnection.get() == &ended;
    });
    if (found->second.empty())
        idle.erase(found);
}

void http_client::state::scheduleSweep(const std::shared_ptr<state> &self)
{
    constexpr kernel::seconds interval{1};
    if (std::exchange(sweeping, true))
        return;
    timer.expires_after(interval);
    timer.async_wait([self](error_code problem) {
        self->sweeping = false;
        if (problem || self->stopped)
            return;
        const auto now = std::chrono::steady_clock::now();
        std::vector<std::shared_ptr<connection>> expired;
        for (const auto &[address, list] : self->idle) {
            std::ranges::copy_if(
                    list, std::back_inserter(expired),
                    [&](const auto &idleConnection) { return idleConnection->idleExpired(now); });
        }
        for (const std::shared_ptr<connection> &idleConnection : expired)
            idleConnection->close();
        if (self->idleCount > 0)
            self->scheduleSweep(self);
    });
}

void shortenLifetime(outgoing_request &request, kernel::nanoseconds waited)
{
    request.requestLifetime
            = std::max(request.requestLifetime - waited, kernel::nanoseconds::zero());
    const auto found
            = std::ranges::find(request.headers, request.timeLeftHeader, &header_field::name);
    if (request.timeLeftHeader.empty() || found == request.headers.end())
        return;
    const auto left = std::chrono::floor<kernel::milliseconds>(request.requestLifetime);
    found->value = std::to_string(std::max<std::int64_t>(left.count(), 1));
}

/// \brief Handle with which the caller can cancel a call.
class http_client::call final : public http_call
{
public:
    void cancel() override
    {
        cancelled = true;
        if (const auto active = std::exchange(activeConnection, nullptr))
            active->abort();
    }

    std::shared_ptr<connection> activeConnection;
    bool cancelled = false;
};

http_client::http_client(io_context &loop, client_limits limits)
    : m_state(std::make_shared<state>(loop, limits))
{ }

http_client::~http_client()
{
    m_state->stopped = true;
    m_state->timer.cancel();
    const auto idle = m_state->idle;
    for (const auto &[address, list] : idle) {
        for (const std::shared_ptr<connection> &idleConnection : list)
            idleConnection->close();
    }
}

std::shared_ptr<http_call> http_client::start(outgoing_request request,
                                              std::shared_ptr<answer_receiver> receiver)
{
    const auto handle = std::make_shared<call>();
    if (!request.freshConnection) {
        handle->activeConnection = m_state->takeIdle(request);
        if (handle->activeConnection) {
            handle->activeConnection->sendRequest(request, std::move(receiver));
            return handle;
        }
    }
    const auto newConnection = std::make_shared<connection>(m_state, request.address);
    handle->activeConnection = newConnection;
    newConnection->connect([handle, newConnection, request = std::move(request),
                            receiver = std::move(receiver),
                            startedAt = std::chrono::steady_clock::now()](bool connected) mutable {
        if (connected && !handle->cancelled && request.onConnected)
            request.onConnected();
        if (handle->cancelled)
            return;
        if (!connected)
            return receiver->ended(call_end::NotConnected);
        shortenLifetime(request, std::chrono::steady_clock::now() - startedAt);
        newConnection->sendRequest(request, std::move(receiver));
    });
    return handle;
}

void http_client::probe(const std::string &address, std::function<void(bool)> done)
{
    const auto newConnection = std::make_shared<connection>(m_state, address);
    newConnection->connect([newConnection, done = std::move(done)](bool connected) {
        if (connected)
            newConnection->becomeIdle();
        done(connected);
    });
}

void http_client::closeIdle(const std::string &address)
{
    const auto found = m_state->idle.find(address);
    if (found == m_state->idle.end())
        return;
    const auto list = found->second;
    for (const std::shared_ptr<connection> &idleConnection : list)
        idleConnection->close();
}

std::size_t http_client::idle() const noexcept
{
    return m_state->idleCount;
}

std::uint64_t http_client::opened() const noexcept
{
    return m_state->opened;
}

} // namespace yuccascale::net
