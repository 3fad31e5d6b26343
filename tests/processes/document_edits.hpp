#pragma once

#include "processes/version_judge.hpp"
#include "processes/zone_cluster.hpp"

#include <atomic>
#include <deque>
#include <list>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// \file
/// \brief An operator who keeps sending whole documents to any control node.

namespace yuccascale::processes {

/// \brief What a caller may ask for.
struct request_subject
{
    std::string route;
    std::string key;
};

/// \brief Moves routes, adds and drops routes, creates and withdraws keys, now and then all of
/// them,
///        one change a document, and sends invalid documents among them, until stop(). Thread-safe.
class document_edits
{
public:
    document_edits(const zone_cluster &system, std::vector<std::string> services, unsigned seed);
    ~document_edits();
    document_edits(const document_edits &) = delete;
    document_edits &operator=(const document_edits &) = delete;

    /// \brief Sends the first document until it is acknowledged.
    /// \returns false when it isn't within the limit.
    [[nodiscard]] bool sendFirst();

    void start();

    /// \brief Waits for the documents that are being sent.
    void stop();

    /// \returns something to ask for, mostly what was changed some seconds ago.
    [[nodiscard]] request_subject subject(std::minstd_rand &random) const;

    /// \returns all documents sent so far, by version.
    [[nodiscard]] std::vector<sent_document> documents() const;

    /// \returns the clear refusals of valid documents.
    [[nodiscard]] std::vector<std::string> refusals() const;

    /// \returns the invalid documents that were acknowledged, by their names.
    [[nodiscard]] std::vector<std::string> acceptedInvalid() const;

    /// \returns how many invalid documents were refused.
    [[nodiscard]] int refusedInvalid() const noexcept { return m_refusedInvalid; }

private:
    struct recent_change
    {
        test_time at{};
        request_subject subject;
    };

    void run();
    std::uint64_t record(const request_subject &changed);
    [[nodiscard]] request_subject changeSomething();
    [[nodiscard]] request_subject moveRoute();
    [[nodiscard]] request_subject addOrDropRoute();
    [[nodiscard]] request_subject createOrWithdrawKey();
    [[nodiscard]] request_subject withdrawAllKeys();
    void sendInvalid(const std::string &body, unsigned node);
    [[nodiscard]] std::string bodyOf(std::uint64_t version) const;
    [[nodiscard]] const std::string &anyService();
    [[nodiscard]] std::size_t changesBefore(test_time at) const;
    void send(std::uint64_t version, const std::string &body, unsigned firstNode);
    void acknowledged(std::uint64_t version, test_time at);
    [[nodiscard]] std::size_t draw(std::size_t count) { return m_random() % count; }

    const zone_cluster &m_system;
    const std::vector<std::string> m_services;
    std::minstd_rand m_random;
    std::minstd_rand m_oddRandom; ///< for what is rare, so that the usual changes stay the same
    sent_document m_draft;        ///< content of the newest document
    std::set<std::string> m_withdrawnKeys; ///< all at once, until the next document
    std::vector<std::string> m_addedRoutes;
    std::vector<std::string> m_addedKeys;
    int m_names = 0;
    mutable std::mutex m_mutex; ///< guards the next four
    std::vector<sent_document> m_documents;
    std::deque<recent_change> m_recent;
    std::vector<std::string> m_refusals;
    std::vector<std::string> m_acceptedInvalid;
    std::atomic<int> m_refusedInvalid{0};
    std::atomic<int> m_sending{0};
    std::atomic<bool> m_stopped{false};
    std::list<std::thread> m_senders;
    std::thread m_thread;
};

} // namespace yuccascale::processes
