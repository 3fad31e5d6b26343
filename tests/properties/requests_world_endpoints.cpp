#include "properties/requests_world_parts.hpp"

namespace yuccascale::fakes {

requests_simulation::endpoint_model &requests_simulation::findEndpoint(const std::string &name)
{
    return *m_endpoints.at(name);
}

void requests_simulation::handleArrival(const std::shared_ptr<connection> &link)
{
    endpoint_model &to = *link->to;
    if (to.down) {
        failConnection(link, attempt_failure::NeverSent);
        return;
    }
    to.openConnections.insert(link);
    endpoint_behaviour behaviour = endpoint_behaviour::Complete;
    if (chance(m_plan.misbehaviourShare))
        behaviour = static_cast<endpoint_behaviour>(draw(1, 7));
    if (link->subject.body.starts_with("poison"))
        behaviour = endpoint_behaviour::Crash;
    if (behaviour == endpoint_behaviour::NotRun) {
        answer_head head{503, link->subject.endpointId, "application/json", true, {}};
        std::vector<event> ignored;
        static_cast<void>(link->reader->head(head, ignored));
        deliverBytes(link, "{\"run\":false}");
        endAnswer(link);
        return;
    }
    runRequest(link, behaviour);
}

void requests_simulation::runRequest(const std::shared_ptr<connection> &link,
                                     endpoint_behaviour behaviour)
{
    m_runs.push_back({m_now, link->to->name, link->subject.endpointId, link->subject.idempotencyKey,
                      link->subject.body, link->subject.organisation});
    if (behaviour == endpoint_behaviour::Crash) {
        scheduleAfter(milliseconds(draw(3, 10)), [this, link] {
            if (link->to->down || !link->to->openConnections.contains(link))
                return;
            m_poisonCrashes.push_back(m_now);
            crashEndpoint(*link->to, milliseconds(draw(300, 800)));
        });
        return;
    }
    answer_head head{200, link->subject.endpointId, "application/json", true, {}};
    if (behaviour == endpoint_behaviour::AnswerOtherRequest)
        head.requestId = "other~1";
    scheduleAfter(milliseconds(draw(2, 10)), [this, link, behaviour, head] {
        std::vector<event> events;
        const bool accepted = link->reader->head(head, events) == head_decision::Take;
        for (event &one : events)
            failConnection(link, std::get<attempt_failed>(one).failure);
        if (accepted && link->to->service) {
            if (behaviour == endpoint_behaviour::NeverEnd)
                return; // the request ends at its deadline
            if (behaviour == endpoint_behaviour::BreakConnection
                || behaviour == endpoint_behaviour::EndEarly) {
                failConnection(link, attempt_failure::Broken);
                return;
            }
            deliverBytes(link,
                         behaviour == endpoint_behaviour::AnswerOtherRequest
                                 ? "ran another"
                                 : "ran " + link->subject.body);
            endAnswer(link);
        } else if (accepted) {
            streamAnswer(link, behaviour);
        }
    });
}

void requests_simulation::streamAnswer(const std::shared_ptr<connection> &link,
                                       endpoint_behaviour behaviour)
{
    const int breakAt = draw(0, piecesPerAnswer);
    const bool crossed = behaviour == endpoint_behaviour::AnswerOtherRequest;
    const std::string id = crossed ? "other~1" : link->subject.endpointId;
    const std::string body = crossed ? "another" : link->subject.body;
    std::string bytes;
    const auto piece = [&](std::int64_t index) {
        const json data{{"id", id}, {"index", index}, {"text", pieceText(body, index)}};
        bytes += formatSseEvent(data.dump());
    };
    for (std::int64_t index = link->resumeFrom; index < piecesPerAnswer; ++index) {
        const bool here = index == breakAt;
        if (here && behaviour == endpoint_behaviour::EndEarly) {
            deliverBytes(link, bytes);
            endAnswer(link);
            return;
        }
        if (here && behaviour == endpoint_behaviour::BreakConnection) {
            deliverBytes(link, bytes);
            failConnection(link, attempt_failure::Broken);
            return;
        }
        if (here && behaviour == endpoint_behaviour::RepeatPiece)
            piece(std::max<std::int64_t>(0, index - 1));
        if (!here || behaviour != endpoint_behaviour::SkipPiece)
            piece(index);
    }
    if (behaviour == endpoint_behaviour::NeverEnd) {
        deliverBytes(link, bytes);
        return; // the request ends at its deadline
    }
    const json last{{"id", id},
                    {"finish", true},
                    {"usage", {{"prompt_tokens", 10}, {"completion_tokens", piecesPerAnswer}}}};
    bytes += formatSseEvent(last.dump()) + formatSseEvent("[DONE]");
    const std::size_t half = bytes.size() / 2;
    deliverBytes(link, bytes.substr(0, half));
    scheduleAfter(milliseconds(draw(1, 40)), [this, link, rest = bytes.substr(half)] {
        deliverBytes(link, rest);
        endAnswer(link);
    });
}

void requests_simulation::deliverBytes(const std::shared_ptr<connection> &link, std::string bytes)
{
    scheduleAt(nextArrival(link->lastByteAt), [link, bytes = std::move(bytes)] {
        link->from->post([link, bytes] {
            if (!link->open || link->reader->done())
                return;
            std::vector<event> events;
            if (!link->reader->feed(bytes, events))
                link->open = false;
            for (event &one : events)
                link->from->sessions.at(link->ticket)->requestSession.handle(std::move(one));
        });
    });
}

void requests_simulation::endAnswer(const std::shared_ptr<connection> &link)
{
    scheduleAt(nextArrival(link->lastByteAt), [link] {
        link->to->openConnections.erase(link);
        link->from->post([link] {
            if (!link->open)
                return;
            std::vector<event> events;
            link->reader->end(events);
            link->open = false;
            for (event &one : events)
                link->from->sessions.at(link->ticket)->requestSession.handle(std::move(one));
        });
    });
}

void requests_simulation::failConnection(const std::shared_ptr<connection> &link,
                                         attempt_failure failure)
{
    scheduleAt(nextArrival(link->lastByteAt), [link, failure] {
        link->to->openConnections.erase(link);
        link->from->post([link, failure] {
            if (!link->open || link->reader->done())
                return;
            link->open = false;
            link->from->sessions.at(link->ticket)
                    ->requestSession.handle(attempt_failed{link->attempt, failure, {}});
        });
    });
}

void requests_simulation::crashEndpoint(endpoint_model &endpoint, milliseconds down)
{
    if (endpoint.down)
        return;
    endpoint.down = true;
    ++endpoint.incarnation;
    for (const auto &link : std::set(endpoint.openConnections))
        failConnection(link, attempt_failure::Crashed);
    endpoint.openConnections.clear();
    scheduleAfter(down, [&endpoint] { endpoint.down = false; });
}

} // namespace yuccascale::fakes
