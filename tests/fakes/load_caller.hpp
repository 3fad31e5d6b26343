#pragma once

#include "fakes/address_book.hpp"
#include "fakes/http_client.hpp"
#include "fakes/load_plan.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief One request of the load, as a careful caller sends it.

namespace yuccascale::fakes {

/// \brief How a request ended for its caller.
enum class caller_outcome {
    Complete, ///< the whole right answer
    NotRun,   ///< refused, and every refusal said "not run"
    Unknown,  ///< told that the outcome is unknown, or that it may have run
    Lost,     ///< begun and never ended, or no answer at all
    Wrong,    ///< ended as whole with another text
};

[[nodiscard]] std::string_view outcomeName(caller_outcome outcome) noexcept;

/// \brief What the caller saw; times in milliseconds from when the request was due.
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

/// \brief Sends one request, retries it as told within its deadline and checks the answer.
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
    std::string m_unparsedBytes; ///< bytes of an unfinished event
    std::string m_text;
    std::int64_t m_pieces = 0;
    std::string m_resumeToken;
    kernel::json m_streamError;
    bool m_finished = false;
    bool m_mayHaveRun = false; ///< something of it may have run
    bool m_outcomeUnknown = false;
    bool m_lastRefusedNotRun = false; ///< the last word was "not run"
};

} // namespace yuccascale::fakes
