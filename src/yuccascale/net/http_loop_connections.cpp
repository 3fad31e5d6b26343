#include "yuccascale/net/http_connection.hpp"

#include <utility>

namespace yuccascale::net {

void http_server::loop_connections::add(const std::shared_ptr<connection> &opened)
{
    connections.insert(opened);
    if (!std::exchange(sweeping, true))
        sweep();
}

void http_server::loop_connections::remove(const std::shared_ptr<connection> &closed)
{
    connections.erase(closed);
}

void http_server::loop_connections::sweep()
{
    constexpr kernel::milliseconds interval{500};
    timer.expires_after(interval);
    timer.async_wait([self = shared_from_this()](error_code problem) {
        if (problem)
            return;
        const auto all = self->connections;
        for (const std::shared_ptr<connection> &opened : all)
            opened->checkDeadlines(std::chrono::steady_clock::now());
        if (self->connections.empty())
            self->sweeping = false;
        else
            self->sweep();
    });
}

void http_server::loop_connections::closeAll()
{
    const auto all = connections;
    for (const std::shared_ptr<connection> &opened : all)
        opened->close();
    timer.cancel();
}

void http_server::loop_connections::closeIdle()
{
    const auto all = connections;
    for (const std::shared_ptr<connection> &opened : all)
        opened->closeIfIdle();
}

} // namespace yuccascale::net
