#pragma once

#include "fakes/history.hpp"
#include "fakes/http_server.hpp"
#include "yuccascale/kernel/json.hpp"

#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief What all stand-ins have in common, and how they are made by name.

namespace yuccascale::fakes {

/// \brief A stand-in of an outside system; it serves until it is destroyed.
class standin
{
public:
    virtual ~standin() = default;
};

/// \brief Makes the stand-in of \a kind from its JSON settings (at least "name" and "port").
/// \returns null when the kind is not known.
[[nodiscard]] std::unique_ptr<standin>
makeStandin(const std::string &kind, const kernel::json &settings, const history &eventHistory);

/// \returns the kinds that makeStandin() knows.
[[nodiscard]] std::vector<std::string> standinKinds();

/// \returns a JSON answer.
[[nodiscard]] http_reply jsonReply(int status, const kernel::json &body);

/// \returns an answer whose connection ends in its middle, as in a crash.
[[nodiscard]] http_reply truncatedReply();

/// \returns what follows the last slash of \a path.
[[nodiscard]] std::string lastSegment(const std::string &path);

} // namespace yuccascale::fakes
