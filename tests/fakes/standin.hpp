#pragma once

#include "fakes/history.hpp"
#include "fakes/http_server.hpp"
#include "yuccascale/kernel/json.hpp"

#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief Base class of the stand-ins, their factory, and helpers for their HTTP answers.

namespace yuccascale::fakes {

/// \brief A stand-in of an outside system. It serves requests until it is destroyed.
class standin
{
public:
    virtual ~standin() = default;
};

/// \brief Creates the stand-in of \a kind from its JSON settings (at least "name" and "port").
/// \returns null when the kind is unknown.
[[nodiscard]] std::unique_ptr<standin>
makeStandin(const std::string &kind, const kernel::json &settings, const history &eventHistory);

/// \returns the kinds that makeStandin() can create.
[[nodiscard]] std::vector<std::string> standinKinds();

/// \returns a JSON answer.
[[nodiscard]] http_reply jsonReply(int status, const kernel::json &body);

/// \returns an answer whose connection is closed before its end, as in a crash.
[[nodiscard]] http_reply truncatedReply();

/// \returns the part of \a path after its last slash.
[[nodiscard]] std::string lastSegment(const std::string &path);

} // namespace yuccascale::fakes
