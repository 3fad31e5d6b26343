#include "properties/requests_world_parts.hpp"

namespace yuccascale::fakes {

requests_world::endpoint_model &requests_world::endpointNamed(const std::string &name)
{
    return *m_endpoints.at(name);
}

void requests_world::arrive(const std::shared_ptr<connection> &link)
{
    endpoint_model &to = *link->to;
    if (to.down) {
        failLink(link, attempt_failure::NeverSent);
        return;
    }
    to.open.insert(link);
    treatment how = treatment::Whole;
    if (chance(m_plan.badTreatment))
        how = static_cast<treatment>(draw(1, 7));
    if (link->subject.body.starts_with("poison"))
        how = treatment::Crash;
    if (how == treatment::NotRun) {
        answer_head head{503, link->subject.endpointId, "application/json", true, {}};
        std::vector<event> ignored;
        static_cast<void>(link->reader->head(head, ignored));
        deliver(link, "{\"run\":false}");
        endAnswer(link);
        return;
    }
    run(link, how);
}

void requests_world::run(const std::shared_ptr<connection> &link, treatment how)
{
    m_runs.push_back({m_now, link->to->name, link->subject.endpointId, link->subject.idempotencyKey,
                      link->subject.body, link->subject.organisation});
    if (how == treatment::Crash) {
        after(milliseconds(draw(3, 10)), [this, link] {
            if (link->to->down || !link->to->open.contains(link))
                return;
            m_poisonCrashes.push_back(m_now);
            crash(*link->to, milliseconds(draw(300, 800)));
        });
        return;
    }
    answer_head head{200, link->subject.endpointId, "application/json", true, {}};
    if (how == treatment::Crossed)
        head.requestId = "other~1";
    after(milliseconds(draw(2, 10)), [this, link, how, head] {
        std::vector<event> events;
        const bool wanted = link->reader->head(head, events) == head_decision::Take;
        for (event &one : events)
            failLink(link, std::get<attempt_failed>(one).failure);
        if (wanted && link->to->service) {
            if (how == treatment::Late)
                return; // the deadline ends it
            if (how == treatment::BreakOff || how == treatment::Short) {
                failLink(link, attempt_failure::Broken);
                return;
            }
            deliver(link, how == treatment::Crossed ? "ran another" : "ran " + link->subject.body);
            endAnswer(link);
        } else if (wanted) {
            stream(link, how);
        }
    });
}

void requests_world::stream(const std::shared_ptr<connection> &link, treatment how)
{
    const int breakAt = draw(0, piecesPerAnswer);
    const bool crossed = how == treatment::Crossed;
    const std::string id = crossed ? "other~1" : link->subject.endpointId;
    const std::string body = crossed ? "another" : link->subject.body;
    std::string bytes;
    const auto piece = [&](std::int64_t index) {
        const json data{{"id", id}, {"index", index}, {"text", pieceText(body, index)}};
        bytes += formatSseEvent(data.dump());
    };
    for (std::int64_t index = link->resumeFrom; index < piecesPerAnswer; ++index) {
        const bool here = index == breakAt;
        if (here && how == treatment::Short) {
            deliver(link, bytes);
            endAnswer(link);
            return;
        }
        if (here && how == treatment::BreakOff) {
            deliver(link, bytes);
            failLink(link, attempt_failure::Broken);
            return;
        }
        if (here && how == treatment::Doubled)
            piece(std::max<std::int64_t>(0, index - 1));
        if (!here || how != treatment::Gap)
            piece(index);
    }
    if (how == treatment::Late) {
        deliver(link, bytes);
        return; // the deadline ends it
    }
    const json last{{"id", id},
                    {"finish", true},
                    {"usage", {{"prompt_tokens", 10}, {"completion_tokens", piecesPerAnswer}}}};
    bytes += formatSseEvent(last.dump()) + formatSseEvent("[DONE]");
    const std::size_t half = bytes.size() / 2;
    deliver(link, bytes.substr(0, half));
    after(milliseconds(draw(1, 40)), [this, link, rest = bytes.substr(half)] {
        deliver(link, rest);
        endAnswer(link);
    });
}

void requests_world::deliver(const std::shared_ptr<connection> &link, std::string bytes)
{
    at(inOrder(link->lastByteAt), [link, bytes = std::move(bytes)] {
        link->from->post([link, bytes] {
            if (!link->open || link->reader->done())
                return;
            std::vector<event> events;
            if (!link->reader->feed(bytes, events))
                link->open = false;
            for (event &one : events)
                link->from->sessions.at(link->ticket)->life.handle(std::move(one));
        });
    });
}

void requests_world::endAnswer(const std::shared_ptr<connection> &link)
{
    at(inOrder(link->lastByteAt), [link] {
        link->to->open.erase(link);
        link->from->post([link] {
            if (!link->open)
                return;
            std::vector<event> events;
            link->reader->end(events);
            link->open = false;
            for (event &one : events)
                link->from->sessions.at(link->ticket)->life.handle(std::move(one));
        });
    });
}

void requests_world::failLink(const std::shared_ptr<connection> &link, attempt_failure how)
{
    at(inOrder(link->lastByteAt), [link, how] {
        link->to->open.erase(link);
        link->from->post([link, how] {
            if (!link->open || link->reader->done())
                return;
            link->open = false;
            link->from->sessions.at(link->ticket)
                    ->life.handle(attempt_failed{link->attempt, how, {}});
        });
    });
}

void requests_world::crash(endpoint_model &endpoint, milliseconds down)
{
    if (endpoint.down)
        return;
    endpoint.down = true;
    ++endpoint.incarnation;
    for (const auto &link : std::set(endpoint.open))
        failLink(link, attempt_failure::Crashed);
    endpoint.open.clear();
    after(down, [&endpoint] { endpoint.down = false; });
}

} // namespace yuccascale::fakes
