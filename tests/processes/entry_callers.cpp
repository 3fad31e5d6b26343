#include "processes/entry_callers.hpp"

#include <algorithm>

namespace yuccascale::processes {

namespace {

/// So many that some go on while an entry holds the requests of others.
constexpr unsigned callersOfEntry = 6;
constexpr milliseconds leastInterval{70};    ///< between a caller's requests
constexpr milliseconds intervalPerEntry{12}; ///< bounds the requests of all callers together
constexpr milliseconds answerLimit{2'500};
constexpr unsigned newConnectionEvery = 40;
const request_subject nowhere{"never-was", "key-lasting"};

} // namespace

entry_callers::entry_callers(const zone_cluster &system, const document_edits &edits, unsigned seed)
    : m_system(system)
    , m_edits(edits)
{
    for (std::size_t entry = 0; entry < system.entries(); ++entry) {
        for (unsigned number = 0; number < callersOfEntry; ++number) {
            const unsigned own = seed + static_cast<unsigned>(m_threads.size()) + 1;
            const std::string name = "e" + std::to_string(entry) + "-" + std::to_string(number);
            const bool asksForNothing = number == 0;
            m_threads.emplace_back([this, entry, own, name, asksForNothing] {
                run(entry, own, name, asksForNothing);
            });
        }
    }
}

entry_callers::~entry_callers()
{
    stop();
}

void entry_callers::stop()
{
    m_stopped = true;
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
}

/// \param asksForNothing for a route that never was, so that the entry always awaits a confirmation
void entry_callers::run(std::size_t entry, unsigned seed, const std::string &name,
                        bool asksForNothing)
{
    std::minstd_rand random(seed);
    const milliseconds interval
            = std::max<milliseconds>(leastInterval, intervalPerEntry * m_system.entries());
    fakes::keep_alive_connection connection;
    for (unsigned number = 0; !m_stopped; ++number) {
        if (!connection.isOpen() || number % newConnectionEvery == 0
            || connection.hasUnreadBytesOrEnd())
            connection = fakes::keep_alive_connection::open(m_system.callerAddress(entry));
        if (connection.isOpen()) {
            const std::string id = name + "-" + std::to_string(number);
            const request_subject subject = asksForNothing ? nowhere : m_edits.subject(random);
            record(id, ask(connection, entry, subject, id));
        }
        std::this_thread::sleep_for(interval);
    }
}

called_request entry_callers::ask(fakes::keep_alive_connection &connection, std::size_t entry,
                                  const request_subject &subject, const std::string &id) const
{
    called_request request{entry, subject, test_clock::now(), {}, 0};
    const bool sent = connection.send(
            "GET /" + subject.route + "/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: " + id
            + "\r\nX-Request-Deadline: 2000\r\nAuthorization: Bearer " + subject.key + "\r\n\r\n");
    const fakes::connection_answer answer
            = sent ? connection.read(answerLimit) : fakes::connection_answer();
    request.answeredAt = test_clock::now();
    request.status = answer.complete ? answer.status : 0;
    if (!answer.complete || !answer.keepsOpen)
        connection.close();
    return request;
}

void entry_callers::record(const std::string &id, const called_request &request)
{
    const std::lock_guard lock(m_mutex);
    m_requests.emplace(id, request);
}

std::vector<handled_request> entry_callers::handled(const std::vector<service_run> &runs) const
{
    std::vector<handled_request> out;
    const auto add = [&](const std::string &id, const called_request &request, test_time seenAt,
                         const std::string &handling) {
        out.push_back({id, request.entry, 0, request.sentAt, seenAt, request.subject.route,
                       request.subject.key, handling});
    };
    for (const service_run &one : runs) {
        const auto request = m_requests.find(one.requestId);
        if (request != m_requests.end())
            add(one.requestId, request->second, one.at, one.service);
    }
    for (const auto &[id, request] : m_requests) {
        const bool refused
                = request.status == 401 || request.status == 403 || request.status == 404;
        if (refused)
            add(id, request, request.answeredAt, std::to_string(request.status));
    }
    return out;
}

std::map<int, int> entry_callers::statuses() const
{
    std::map<int, int> out;
    for (const auto &[id, request] : m_requests)
        ++out[request.status];
    return out;
}

} // namespace yuccascale::processes
