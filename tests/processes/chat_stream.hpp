#pragma once

#include "fakes/http_client.hpp"

#include <cstdint>
#include <functional>
#include <string>

/// \file
/// \brief Client side of a streamed answer.

namespace yuccascale::processes {

/// \brief Collects the pieces of a stream over one or more calls.
class chat_stream
{
public:
    /// \brief Makes \a call; asks to resume if pieces were received before.
    /// \param onPiece called after each piece with the number of pieces so far
    /// \returns the head of the answer
    fakes::http_answer run(fakes::http_call call,
                           const std::function<void(std::int64_t)> &onPiece = {});

    [[nodiscard]] bool finished() const noexcept { return m_finished; }
    [[nodiscard]] std::int64_t pieces() const noexcept { return m_pieces; }
    [[nodiscard]] const std::string &text() const noexcept { return m_text; }

    /// \returns the error received instead of, or within, the answer; empty if none.
    [[nodiscard]] const std::string &problem() const noexcept { return m_problem; }

private:
    void parseBytes(const fakes::http_answer &head, std::string_view bytes,
                    const std::function<void(std::int64_t)> &onPiece);

    std::string m_unparsed;
    std::string m_text;
    std::string m_token;
    std::string m_problem;
    std::int64_t m_pieces = 0;
    bool m_finished = false;
};

} // namespace yuccascale::processes
