#pragma once

#include "yuccascale/http/caller_services.hpp"
#include "yuccascale/kernel/requests/request_session.hpp"

#include <deque>
#include <memory>
#include <optional>

/// \file
/// \brief Carries one request through its life, on its caller's thread.

namespace yuccascale::http {

/// \brief One request. Used by one thread at a time.
///
/// \example
///     caller_session session(services, request, weight);
///     while (const auto output = session.next(250ms)) { ... }
class caller_session final : private kernel::requests::session_ports
{
public:
    caller_session(caller_services &services, kernel::requests::request subject, double weight);
    ~caller_session() override;
    caller_session(const caller_session &) = delete;
    caller_session &operator=(const caller_session &) = delete;

    /// \returns what comes next; nothing when nothing came within \a patience or it has ended.
    [[nodiscard]] std::optional<kernel::requests::caller_output> next(kernel::nanoseconds patience);

    /// \returns true when no output will follow.
    [[nodiscard]] bool ended() const noexcept { return m_session.ended() && m_outputs.empty(); }

    /// \brief Stops the request, unless it must run to its end.
    void callerLeft();

    [[nodiscard]] const kernel::requests::request &subject() const noexcept
    {
        return m_session.subject();
    }

private:
    void runToEnd();

    [[nodiscard]] kernel::instant now() const override;
    [[nodiscard]] kernel::requests::start_check
    checkStart(const kernel::requests::request &subject) const override;
    [[nodiscard]] std::optional<kernel::requests::refusal>
    push(std::uint64_t ticket, const kernel::requests::request &subject,
         const kernel::requests::enqueue &how) override;
    void remove(std::uint64_t ticket, const kernel::requests::request &subject) override;
    void firstPiece(std::uint64_t ticket, const kernel::requests::request &subject) override;
    kernel::requests::finish_findings
    finish(std::uint64_t ticket, const kernel::requests::request &subject,
           const kernel::requests::attempt_result &result) override;
    void claim(const kernel::requests::request &subject, const std::string &operationId) override;
    void withdraw(const kernel::requests::request &subject,
                  const std::string &operationId) override;
    void settle(const kernel::requests::request &subject, const std::string &operationId,
                const kernel::requests::settle &how) override;
    void recordUsage(const kernel::requests::request &subject,
                     const kernel::requests::token_usage &usage) override;
    void ban(const kernel::requests::request &subject, const std::string &fingerprint) override;
    void send(const kernel::requests::request &subject,
              const kernel::requests::scheduled_turn &turn,
              const kernel::requests::dispatch &sent) override;
    void stop(const kernel::requests::request &subject,
              const kernel::requests::scheduled_turn &turn) override;
    void give(kernel::requests::caller_output output) override;

    void measure(const kernel::requests::caller_output &output);

    caller_services &m_services;
    double m_weight;
    std::string m_endpoint; ///< of the last attempt
    bool m_firstPieceGiven = false;
    std::shared_ptr<caller_mailbox> m_mailbox = std::make_shared<caller_mailbox>();
    std::shared_ptr<endpoint_exchange> m_exchange;
    std::deque<kernel::requests::caller_output> m_outputs;
    kernel::requests::request_session m_session;
};

} // namespace yuccascale::http
