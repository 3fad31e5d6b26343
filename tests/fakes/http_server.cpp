#include "fakes/http_server.hpp"

#include <httplib.h>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <list>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace yuccascale::fakes {

namespace {

constexpr std::size_t maxThreads = 512;
constexpr std::size_t maxBodyBytes = 64U << 20U;
constexpr std::size_t keepAliveRequests = 1'000'000;
constexpr int keepAliveSeconds = 5;

std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

/// Starts a thread for a connection when no existing thread is idle.
class growing_thread_pool final : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> task) override
    {
        const std::scoped_lock guard(m_mutex);
        m_tasks.push_back(std::move(task));
        if (m_idle < m_tasks.size() && m_threads.size() < maxThreads)
            m_threads.emplace_back([this] { runTasks(); });
        m_taskAvailable.notify_one();
    }

    void shutdown() override
    {
        {
            const std::scoped_lock guard(m_mutex);
            m_stopped = true;
            m_taskAvailable.notify_all();
        }
        for (std::thread &thread : m_threads)
            thread.join();
    }

private:
    void runTasks()
    {
        std::unique_lock guard(m_mutex);
        while (true) {
            ++m_idle;
            m_taskAvailable.wait(guard, [this] { return m_stopped || !m_tasks.empty(); });
            --m_idle;
            if (m_tasks.empty())
                return;
            const std::function<void()> task = std::move(m_tasks.front());
            m_tasks.pop_front();
            guard.unlock();
            task();
            guard.lock();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_taskAvailable;
    std::deque<std::function<void()>> m_tasks;
    std::list<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stopped = false;
};

http_request toRequest(const httplib::Request &from)
{
    http_request out;
    out.method = from.method;
    out.path = from.path;
    out.query = from.params;
    for (const auto &[name, value] : from.headers)
        out.headers.emplace(lowerCase(name), value);
    for (const char *addedByLibrary : {"remote_addr", "remote_port", "local_addr", "local_port"})
        out.headers.erase(addedByLibrary);
    out.body = from.body;
    return out;
}

void sendReply(http_reply reply, httplib::Response &to)
{
    to.status = reply.status;
    for (const auto &[name, value] : reply.headers)
        to.set_header(name, value);
    if (!reply.stream) {
        to.set_content(reply.body, reply.contentType);
        return;
    }
    to.set_chunked_content_provider(
            reply.contentType,
            [stream = std::move(reply.stream)](std::size_t, httplib::DataSink &sink) {
                const bool complete = stream([&sink](std::string_view piece) {
                    return sink.is_writable() && sink.write(piece.data(), piece.size());
                });
                if (complete)
                    sink.done();
                return complete;
            });
}

} // namespace

std::string http_request::header(const std::string &lowerCaseName) const
{
    const auto found = headers.find(lowerCaseName);
    return found == headers.end() ? std::string() : found->second;
}

std::uint64_t http_request::queryNumber(const std::string &name, std::uint64_t fallback) const
{
    const auto found = query.find(name);
    return found == query.end() ? fallback : std::strtoull(found->second.c_str(), nullptr, 10);
}

struct http_server::running_server
{
    httplib::Server server;
    std::thread thread;
    int port = 0;
};

http_server::http_server(int port, handler handle)
    : m_running(std::make_unique<running_server>())
{
    httplib::Server &server = m_running->server;
    server.new_task_queue = [] { return new growing_thread_pool; };
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(keepAliveRequests);
    server.set_keep_alive_timeout(keepAliveSeconds);
    server.set_payload_max_length(maxBodyBytes);
    const auto route
            = [handle = std::move(handle)](const httplib::Request &from, httplib::Response &to) {
                  sendReply(handle(toRequest(from)), to);
              };
    server.Get(".*", route).Post(".*", route).Put(".*", route).Delete(".*", route);
    if (port == 0)
        m_running->port = server.bind_to_any_port("127.0.0.1");
    else if (server.bind_to_port("127.0.0.1", port))
        m_running->port = port;
    else
        throw std::runtime_error(
                "port " + std::to_string(port)
                + " is in use; choose another port or stop the process that uses it");
    m_running->thread = std::thread([this] { m_running->server.listen_after_bind(); });
    while (!server.is_running())
        std::this_thread::yield();
}

http_server::~http_server()
{
    m_running->server.stop();
    m_running->thread.join();
}

int http_server::port() const noexcept
{
    return m_running->port;
}

} // namespace yuccascale::fakes
