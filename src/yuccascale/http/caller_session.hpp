#pragma once

#include "yuccascale/http/caller_services.hpp"
#include "yuccascale/kernel/requests/request_session.hpp"
#include "yuccascale/net/http_exchange.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>

/// \file
/// \brief Runs one request from its arrival to its end, on the loop of its caller's connection.

namespace yuccascale::http {

/// \brief One request. Kept alive until it has ended, also when its caller has disconnected.
class caller_session final : public std::enable_shared_from_this<caller_session>,
                             private kernel::requests::session_ports
{
public:
    /// \brief Starts a request; its answer goes to \a exchange.
    static void start(caller_services &services, kernel::requests::request callerRequest,
                      double weight, std::shared_ptr<net::http_exchange> exchange,
                      quota_charge charge);

    caller_session(caller_services &services, kernel::requests::request callerRequest,
                   double weight, std::shared_ptr<net::http_exchange> exchange,
                   quota_charge charge);
    ~caller_session() override;
    caller_session(const caller_session &) = delete;
    caller_session &operator=(const caller_session &) = delete;

    /// \brief This entry has begun to shut down; call on the session's loop.
    void onEntryLeaving();

private:
    void begin();
    void handleMessage(caller_mailbox::message message);
    void assignEndpoint(kernel::requests::endpoint_assignment assignment);
    void startDeadlineTimer();
    void onDeadlineTimer();
    void handleLeaving();
    enum class next_leg { Prefill, Request };
    void checkBeforeSend(int attempt, next_leg leg);
    [[nodiscard]] kernel::requests::endpoint_standing
    standingOf(const kernel::requests::endpoint_assignment &assignment, bool withPrefill) const;
    void withhold(kernel::requests::endpoint_standing standing);
    void passOn(std::uint64_t ticket, const kernel::requests::helper_entry &helper);
    void sendToEntry(const kernel::requests::request &callerRequest,
                     const kernel::requests::endpoint_assignment &assignment,
                     const kernel::requests::dispatch &sent);
    [[nodiscard]] kernel::requests::relay_grant grant() const;
    [[nodiscard]] std::function<void(kernel::requests::event)>
    eventsFromEntry(const std::string &entry) const;
    [[nodiscard]] std::function<void(kernel::requests::event)> eventsFromEndpoint() const;
    bool endRelay();
    void finishIfEnded();

    [[nodiscard]] const kernel::requests::request &callerRequest() const noexcept
    {
        return m_session.callerRequest();
    }
    [[nodiscard]] kernel::instant now() const override;
    [[nodiscard]] kernel::requests::start_check
    checkStart(const kernel::requests::request &callerRequest) const override;
    [[nodiscard]] std::optional<kernel::requests::refusal>
    push(std::uint64_t ticket, const kernel::requests::request &callerRequest,
         const kernel::requests::enqueue &options) override;
    void remove(std::uint64_t ticket, const kernel::requests::request &callerRequest) override;
    void firstPieceArrived(std::uint64_t ticket,
                           const kernel::requests::request &callerRequest) override;
    kernel::requests::finish_findings
    finish(std::uint64_t ticket, const kernel::requests::request &callerRequest,
           const kernel::requests::attempt_result &result) override;
    void claim(const kernel::requests::request &callerRequest,
               const std::string &operationId) override;
    void withdraw(const kernel::requests::request &callerRequest,
                  const std::string &operationId) override;
    void settle(const kernel::requests::request &callerRequest, const std::string &operationId,
                const kernel::requests::settle &settlement) override;
    void locateStream(const kernel::requests::request &callerRequest) override;
    void recordStream(const kernel::requests::request &callerRequest,
                      const std::string &softwareVersion) override;
    void recordUsage(const kernel::requests::request &callerRequest,
                     const kernel::requests::token_usage &usage) override;
    void ban(const kernel::requests::request &callerRequest,
             const std::string &fingerprint) override;
    void send(const kernel::requests::request &callerRequest,
              const kernel::requests::endpoint_assignment &assignment,
              const kernel::requests::dispatch &sent) override;
    void stop(const kernel::requests::request &callerRequest,
              const kernel::requests::endpoint_assignment &assignment) override;
    void deliver(kernel::requests::caller_output output) override;

    void write(const kernel::requests::begin_stream &began);
    void write(const kernel::requests::forward &piece);
    void write(const kernel::requests::finish_stream &last);
    void write(kernel::requests::send_answer &answer);
    void write(const kernel::requests::refuse &refused);
    [[nodiscard]] bool sentNowhere(const kernel::requests::refusal &reason) const;
    void recordSentWhileLeaving() const;
    void beginStream(const kernel::requests::stream_head *endpointHead);
    void recordMetrics(const kernel::requests::caller_output &output);

    caller_services &m_services;
    entry_loop &m_loop;
    double m_weight;
    quota_charge m_charge; ///< to be returned when the request surely did not run
    std::shared_ptr<net::http_exchange> m_exchange;
    kernel::requests::endpoint_assignment m_assigned; ///< of the last attempt
    bool m_relayRunning = false;                      ///< a helper is chosen and was not released
    bool m_unreached = false;                         ///< refused, since nobody reaches an endpoint
    bool m_servedElsewhere = false; ///< the last attempt is another entry's, which records it
    bool m_firstPieceSent = false;
    bool m_streaming = false; ///< status and headers were sent to the caller
    boost::asio::steady_timer m_timer;
    std::shared_ptr<caller_mailbox> m_mailbox;
    std::shared_ptr<endpoint_exchange> m_attempt;
    std::shared_ptr<caller_session> m_self; ///< keeps the session alive until it has ended
    kernel::requests::request_session m_session;
};

} // namespace yuccascale::http
