#pragma once

#include "fakes/address_book.hpp"
#include "fakes/http_client.hpp"
#include "fakes/load_plan.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief One request of the load, sent with retries and stream resumption.

namespace yuccascale::fakes {

/// \brief Outcome of a request for its caller.
enum class caller_outcome {
    Complete, ///< the complete and correct answer was received
    NotRun,   ///< refused, and no attempt may have run
    Unknown,  ///< the error said that the outcome is unknown or that the request may have run
    Lost,     ///< an attempt may have run without a complete answer, or none was answered
    Wrong,    ///< a complete answer with incorrect content
};

[[nodiscard]] std::string_view outcomeName(caller_outcome outcome) noexcept;

/// \brief Result of a request; times in milliseconds since the caller was created.
struct caller_result
{
    caller_outcome outcome = caller_outcome::Lost;
    double firstTokenMs = 0;
    double totalMs = 0;
    std::vector<double> gapsMs; ///< between pieces
    int attempts = 0;
    int resumes = 0;
    std::string lastProblem; ///< kind of the last error
};

/// \brief Sends one request, retries it until its deadline after the delay that the error gives,
///        and checks the answer.
class load_caller
{
public:
    load_caller(const load_plan &plan, const planned_request &request, address_book &addresses);

    [[nodiscard]] caller_result run();

private:
    enum class step { Ended, RetryNow, RetryLater };

    [[nodiscard]] http_call makeCall(const std::string &address);
    [[nodiscard]] step attempt();
    [[nodiscard]] step evaluateStream(const http_answer &answer);
    [[nodiscard]] step evaluateService(const http_answer &answer);
    [[nodiscard]] step handleError(const kernel::json &problem);
    bool handleBytes(const http_answer &head, std::string_view bytes);
    void handlePiece(const kernel::json &piece);
    [[nodiscard]] caller_outcome unansweredOutcome() const;
    [[nodiscard]] double elapsedMs() const;

    const load_plan &m_plan;
    const planned_request &m_request;
    address_book &m_addresses;
    caller_result m_result;
    double m_startMs;
    double m_lastPieceMs = 0;
    double m_retryAfterMs = 0;
    std::string m_unparsedBytes; ///< received bytes of an incomplete event
    std::string m_text;
    std::int64_t m_pieces = 0;
    std::string m_resumeToken;
    kernel::json m_streamError;
    bool m_finished = false;
    bool m_mayHaveRun = false; ///< some attempt may have run
    bool m_outcomeUnknown = false;
    bool m_lastRefusedNotRun = false; ///< the last error said that the request did not run
};

} // namespace yuccascale::fakes
