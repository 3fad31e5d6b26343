#include "properties/requests_world_parts.hpp"

namespace yuccascale::fakes {

std::vector<std::string> requests_world::breaches() const
{
    std::vector<std::string> all = m_breaches;
    checkRuns(all);
    checkSends(all);
    checkAnswers(all);
    return all;
}

void requests_world::checkRuns(std::vector<std::string> &out) const
{
    std::map<std::string, int> runsOfKey;
    for (const endpoint_run &run : m_runs) {
        if (!run.idempotencyKey.empty() && ++runsOfKey[run.idempotencyKey] > 1)
            out.push_back(run.idempotencyKey + " ran twice");
        const auto notice = m_noticeAt.find(run.endpoint);
        if (notice != m_noticeAt.end() && run.at > notice->second + leaveBound)
            out.push_back(run.endpoint + " got work after its notice");
        const bool withdrawn = run.organisation == "org-0" && m_keyWithdrawnAt != instant::max();
        if (withdrawn && run.at > m_keyWithdrawnAt + withdrawBound)
            out.push_back(run.endpointId + " ran with a withdrawn key");
    }
}

void requests_world::checkSends(std::vector<std::string> &out) const
{
    std::set<std::string> ran;
    std::map<std::string, instant> keyRanAt;
    for (const endpoint_run &run : m_runs) {
        ran.insert(run.endpointId);
        if (!run.idempotencyKey.empty())
            keyRanAt.emplace(run.idempotencyKey, run.at);
    }
    for (const caller_send &send : m_sends) {
        if (send.refused && !send.refusal.mayHaveRun && ran.contains(send.endpointId))
            out.push_back(send.endpointId
                          + " was refused as not run, and ran: " + send.refusal.message);
        const auto ranBefore = keyRanAt.find("key-" + std::to_string(send.submission));
        if (send.refused && !send.refusal.mayHaveRun && ranBefore != keyRanAt.end()
            && ranBefore->second < send.endedAt)
            out.push_back(send.endpointId
                          + " was refused as not run after its key ran: " + send.refusal.message);
        if (!send.ended)
            out.push_back(send.endpointId + " got no final answer");
        const bool paused = std::ranges::any_of(m_plan.faults, [](const fault &one) {
            return one.what == fault::kind::PauseEntry;
        });
        if (send.ended && !send.entryDied && !paused && send.endedAt > send.deadline + refusalSlack)
            out.push_back(send.endpointId + " got its final answer after its deadline");
    }
}

void requests_world::checkAnswers(std::vector<std::string> &out) const
{
    for (const caller_submission &wanted : m_wanted) {
        if (!wanted.whole)
            continue;
        const std::string name = "r" + std::to_string(wanted.number);
        if (!wanted.idempotent && wanted.answer != "ran " + wanted.body)
            out.push_back(name + " got another answer: " + wanted.answer);
        if (wanted.idempotent && wanted.pieces.size() != piecesPerAnswer)
            out.push_back(name + " got a short answer as whole");
        for (std::size_t index = 0; index < wanted.pieces.size(); ++index) {
            const std::string text = pieceText(wanted.body, static_cast<std::int64_t>(index));
            if (wanted.pieces[index].find(text) == std::string::npos)
                out.push_back(name + " got a piece of another answer");
        }
    }
}

} // namespace yuccascale::fakes
