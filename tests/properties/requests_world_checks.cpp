#include "properties/requests_world_parts.hpp"

namespace yuccascale::fakes {

std::vector<std::string> requests_simulation::violations() const
{
    std::vector<std::string> all = m_violations;
    checkRuns(all);
    checkSends(all);
    checkAnswers(all);
    return all;
}

void requests_simulation::checkRuns(std::vector<std::string> &out) const
{
    std::map<std::string, int> runsOfKey;
    for (const endpoint_run &run : m_runs) {
        if (!run.idempotencyKey.empty() && ++runsOfKey[run.idempotencyKey] > 1)
            out.push_back(run.idempotencyKey + " ran more than once");
        const auto notice = m_leaveNoticeAt.find(run.endpoint);
        if (notice != m_leaveNoticeAt.end() && run.startedAt > notice->second + leaveLimit)
            out.push_back(run.endpoint + " received a request more than "
                          + std::to_string(leaveLimit.count()) + " ms after it announced leaving");
        const bool withdrawn = run.organisation == "org-0" && m_keyWithdrawnAt != instant::max();
        if (withdrawn && run.startedAt > m_keyWithdrawnAt + withdrawalLimit)
            out.push_back(run.endpointId + " ran more than "
                          + std::to_string(withdrawalLimit.count())
                          + " ms after its key was withdrawn");
    }
}

void requests_simulation::checkSends(std::vector<std::string> &out) const
{
    std::set<std::string> ran;
    std::map<std::string, instant> keyRanAt;
    for (const endpoint_run &run : m_runs) {
        ran.insert(run.endpointId);
        if (!run.idempotencyKey.empty())
            keyRanAt.emplace(run.idempotencyKey, run.startedAt);
    }
    for (const caller_send &send : m_sends) {
        if (send.refused && !send.refusal.mayHaveRun && ran.contains(send.endpointId))
            out.push_back(send.endpointId
                          + " was refused as not run but ran: " + send.refusal.message);
        const auto ranBefore = keyRanAt.find("key-" + std::to_string(send.submissionNumber));
        if (send.refused && !send.refusal.mayHaveRun && ranBefore != keyRanAt.end()
            && ranBefore->second < send.endedAt)
            out.push_back(send.endpointId
                          + " was refused as not run after its idempotency key had run: "
                          + send.refusal.message);
        if (!send.ended)
            out.push_back(send.endpointId + " received no final answer");
        const bool paused = std::ranges::any_of(m_plan.faults, [](const fault &one) {
            return one.type == fault::kind::PauseEntry;
        });
        if (send.ended && !send.entryFailed && !paused
            && send.endedAt > send.deadline + refusalTolerance)
            out.push_back(send.endpointId + " received its final answer after its deadline");
    }
}

void requests_simulation::checkAnswers(std::vector<std::string> &out) const
{
    for (const caller_submission &submission : m_submissions) {
        if (!submission.complete)
            continue;
        const std::string name = "r" + std::to_string(submission.number);
        if (!submission.idempotent && submission.answer != "ran " + submission.body)
            out.push_back(name + " received the answer of another request: " + submission.answer);
        if (submission.idempotent && submission.pieces.size() != piecesPerAnswer)
            out.push_back(name + " received an incomplete answer marked as complete");
        for (std::size_t index = 0; index < submission.pieces.size(); ++index) {
            const std::string text = pieceText(submission.body, static_cast<std::int64_t>(index));
            if (submission.pieces[index].find(text) == std::string::npos)
                out.push_back(name + " received a piece of another request's answer");
        }
    }
}

} // namespace yuccascale::fakes
