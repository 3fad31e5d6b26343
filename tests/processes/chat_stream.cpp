#include "processes/chat_stream.hpp"

#include "yuccascale/kernel/json.hpp"

namespace yuccascale::processes {

using kernel::json;

fakes::http_answer chat_stream::run(fakes::http_call call,
                                    const std::function<void(std::int64_t)> &onPiece)
{
    if (m_pieces > 0) {
        call.headers.emplace("X-Resume-Token", m_token);
        call.headers.emplace("X-Resume-From", std::to_string(m_pieces));
    }
    m_unparsed.clear();
    m_problem.clear();
    call.onPiece = [&](const fakes::http_answer &head, std::string_view bytes) {
        parseBytes(head, bytes, onPiece);
        return true;
    };
    fakes::http_answer answer = fakes::callHttp(call);
    if (answer.status != 200)
        m_problem = m_unparsed;
    return answer;
}

void chat_stream::parseBytes(const fakes::http_answer &head, std::string_view bytes,
                             const std::function<void(std::int64_t)> &onPiece)
{
    m_unparsed += bytes;
    if (head.status != 200)
        return;
    if (m_token.empty())
        m_token = head.header("x-resume-token");
    for (std::size_t end = m_unparsed.find("\n\n"); end != std::string::npos;
         end = m_unparsed.find("\n\n")) {
        const std::string event = m_unparsed.substr(0, end);
        m_unparsed.erase(0, end + 2);
        const json piece = json::parse(event.substr(std::string("data: ").size()), nullptr, false);
        if (!piece.is_object())
            continue;
        if (piece.contains("error"))
            m_problem = piece.dump();
        m_finished = m_finished || piece.value("finish", false);
        if (!piece.contains("choices"))
            continue;
        m_text += piece["choices"][0]["delta"].value("content", "");
        ++m_pieces;
        if (onPiece)
            onPiece(m_pieces);
    }
}

} // namespace yuccascale::processes
