#pragma once

#include "yuccascale/http/caller_services.hpp"
#include "yuccascale/kernel/requests/request_life.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <variant>

/// \file
/// \brief Carries one request through its life, on its caller's thread.

namespace yuccascale::http {

/// \brief What the caller gets next.
using caller_output = std::variant<kernel::requests::forward, kernel::requests::finish_stream,
                                   kernel::requests::give_answer, kernel::requests::refuse>;

/// \brief One request. Used by one thread at a time.
///
/// \example
///     caller_session session(services, request, weight);
///     while (const auto output = session.next(250ms)) { ... }
class caller_session
{
public:
    caller_session(caller_services &services, kernel::requests::request subject, double weight);
    ~caller_session();
    caller_session(const caller_session &) = delete;
    caller_session &operator=(const caller_session &) = delete;

    /// \returns what comes next; nothing when nothing came within \a patience or it has ended.
    [[nodiscard]] std::optional<caller_output> next(kernel::nanoseconds patience);

    /// \returns true when no output will follow.
    [[nodiscard]] bool ended() const noexcept;

    /// \brief Stops the request, unless it must run to its end.
    void callerLeft();

    [[nodiscard]] const kernel::requests::request &subject() const noexcept
    {
        return m_life.subject();
    }

private:
    void takeTurn(kernel::requests::scheduled_turn turn);
    void handle(const kernel::requests::event &happened);
    void note(const kernel::requests::event &happened);
    void performAll(const std::vector<kernel::requests::action> &actions);
    void finishTurn(const kernel::requests::attempt_result &result);
    void runToEnd();

    void perform(const kernel::requests::enqueue &how);
    void perform(const kernel::requests::dequeue &);
    void perform(const kernel::requests::release_turn &);
    void perform(const kernel::requests::submit_claim &);
    void perform(const kernel::requests::withdraw_claim &);
    void perform(const kernel::requests::dispatch &sent);
    void perform(const kernel::requests::cancel &stopped);
    void perform(const kernel::requests::forward &piece);
    void perform(const kernel::requests::commit_usage &usage);
    void perform(const kernel::requests::settle &end);
    void perform(const kernel::requests::finish_stream &last);
    void perform(const kernel::requests::give_answer &answer);
    void perform(const kernel::requests::refuse &refused);

    caller_services &m_services;
    kernel::requests::request_life m_life;
    double m_weight;
    std::uint64_t m_ticket;
    std::string m_claimOperation;
    std::shared_ptr<caller_mailbox> m_mailbox = std::make_shared<caller_mailbox>();
    std::shared_ptr<endpoint_exchange> m_exchange;
    std::optional<kernel::requests::scheduled_turn> m_turn;
    kernel::instant m_sentAt{};
    kernel::instant m_firstPieceAt{};
    std::deque<caller_output> m_outputs;
};

} // namespace yuccascale::http
