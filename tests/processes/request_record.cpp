#include "processes/request_record.hpp"

#include <array>
#include <sstream>

namespace yuccascale::processes {

namespace {

constexpr std::array<const char *, requestKindCount> kindNames{"short chat", "long chat", "ticket"};
constexpr std::array<const char *, 4> styleNames{"at once", "pipelined", "slow head", "slow body"};

} // namespace

std::string describe(const request_record &record)
{
    std::ostringstream text;
    text << record.id << " (" << kindNames.at(static_cast<std::size_t>(record.kind)) << ", "
         << styleNames.at(static_cast<std::size_t>(record.style))
         << (record.newConnection ? ", new connection" : "") << ") at node " << record.node
         << ": begun " << record.startedMs << ", sent " << record.sentMs << ", ended "
         << record.answeredMs << " with status " << record.status
         << (record.complete ? ", complete" : ", incomplete") << ", connection "
         << fakes::connectionEndName(record.end) << " " << record.problem;
    return text.str();
}

} // namespace yuccascale::processes
