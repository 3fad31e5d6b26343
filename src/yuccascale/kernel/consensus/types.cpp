#include "yuccascale/kernel/consensus/types.hpp"

#include <algorithm>

namespace yuccascale::kernel::consensus {

bool membership::hasVoter(const member_id &member) const
{
    return std::ranges::find(voters, member) != voters.end();
}

bool membership::has(const member_id &member) const
{
    return hasVoter(member) || std::ranges::find(learners, member) != learners.end();
}

std::optional<member_id> membership::findByName(const std::string &name) const
{
    for (const std::vector<member_id> *list : {&voters, &learners}) {
        const auto found = std::ranges::find(*list, name, &member_id::name);
        if (found != list->end())
            return *found;
    }
    return std::nullopt;
}

std::vector<member_id> membership::all() const
{
    std::vector<member_id> members = voters;
    members.insert(members.end(), learners.begin(), learners.end());
    return members;
}

} // namespace yuccascale::kernel::consensus
