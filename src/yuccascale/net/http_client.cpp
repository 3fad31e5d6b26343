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

void http_client::state::keep(const std::shared_ptr<connection> &kept)
{
    auto &list = idle[kept->address()];
    if (stopped || list.size() >= limits.idlePerAddress)
        return kept->close();
    list.push_back(kept);
    ++idleCount;
}

std::shared_ptr<http_client::connection> http_client::state::take(const std::string &address)
{
    const auto found = idle.find(address);
    while (found != idle.end() && !found->second.empty()) {
        std::shared_ptr<connection> newest = std::move(found->second.back());
        found->second.pop_back();
        --idleCount;
        if (newest->usable())
            return newest;
        newest->close();
    }
    return nullptr;
}

void http_client::state::drop(const connection &ended)
{
    const auto found = idle.find(ended.address());
    if (found == idle.end())
        return;
    idleCount -= std::erase_if(found->second, [&](const auto &one) { return one.get() == &ended; });
    if (found->second.empty())
        idle.erase(found);
}

void http_client::state::sweepLater(const std::shared_ptr<state> &self)
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
        std::vector<std::shared_ptr<connection>> overdue;
        for (const auto &[address, list] : self->idle) {
            std::ranges::copy_if(list, std::back_inserter(overdue),
                                 [&](const auto &one) { return one->overdue(now); });
        }
        for (const std::shared_ptr<connection> &one : overdue)
            one->close();
        if (self->idleCount > 0)
            self->sweepLater(self);
    });
}

/// \brief The caller's hold on a call.
class http_client::call final : public http_call
{
public:
    void cancel() override
    {
        cancelled = true;
        if (const auto open = std::exchange(carrier, nullptr))
            open->close();
    }

    std::shared_ptr<connection> carrier;
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
        for (const std::shared_ptr<connection> &one : list)
            one->close();
    }
}

std::shared_ptr<http_call> http_client::start(outgoing_request request,
                                              std::shared_ptr<answer_receiver> receiver)
{
    const auto made = std::make_shared<call>();
    if (!request.freshConnection) {
        made->carrier = m_state->take(request.address);
        if (made->carrier) {
            made->carrier->carry(request, std::move(receiver));
            return made;
        }
    }
    const auto fresh = std::make_shared<connection>(m_state, request.address);
    made->carrier = fresh;
    fresh->connect([made, fresh, request = std::move(request),
                    receiver = std::move(receiver)](bool connected) mutable {
        if (made->cancelled)
            return;
        if (connected)
            fresh->carry(request, std::move(receiver));
        else
            receiver->ended(call_end::NotConnected);
    });
    return made;
}

void http_client::probe(const std::string &address, std::function<void(bool)> done)
{
    const auto fresh = std::make_shared<connection>(m_state, address);
    fresh->connect([fresh, done = std::move(done)](bool connected) {
        if (connected)
            fresh->becomeIdle();
        done(connected);
    });
}

void http_client::forget(const std::string &address)
{
    const auto found = m_state->idle.find(address);
    if (found == m_state->idle.end())
        return;
    const auto list = found->second;
    for (const std::shared_ptr<connection> &one : list)
        one->close();
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
