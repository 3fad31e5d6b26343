#include "yuccascale/kernel/state/operation_answers.hpp"

#include "yuccascale/kernel/state/answers.hpp"

#include <xxhash.h>

namespace yuccascale::kernel::state {

namespace {

/// Digests are kept in snapshots and compared by replicas of all builds, so they cover the members
/// that former builds know.
std::uint64_t digestOf(const edit_tables &edit)
{
    edit_tables withoutTime = edit;
    withoutTime.wallMs = 0;
    json members = withoutTime;
    members.erase("removeLimits"); // no operator's edit sets it
    const std::string bytes = toCbor(members);
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace

std::optional<command_result> operation_answers::find(const std::string &operationId,
                                                      const edit_tables &edit) const
{
    const auto found = m_answers.find(operationId);
    if (found != m_answers.end()) {
        const first_answer &first = found->second;
        if (first.editDigest != digestOf(edit)) {
            return refused(
                    error_kind::InvalidArgument,
                    "operation id " + operationId
                            + " was already used for a different edit; use a new id for each edit");
        }
        return command_result{first.accepted, first.kind,     first.message,
                              first.index,    first.revision, {}};
    }
    if (edit.fromRevision < m_droppedBeforeRevision) {
        return refused(error_kind::OutcomeUnknown,
                       "the outcome of the edit is unknown: results of edits made before revision "
                               + std::to_string(m_droppedBeforeRevision)
                               + " are no longer kept; read the tables to see whether it was "
                                 "applied, and edit again from the current revision");
    }
    return std::nullopt;
}

void operation_answers::recordFirst(const std::string &operationId, const edit_tables &edit,
                                    const command_result &answer)
{
    insert({operationId, digestOf(edit), answer.accepted, answer.kind, answer.message, answer.index,
            answer.revision});
    while (m_idsOldestFirst.size() > m_bounds.operationAnswers) {
        const auto oldest = m_answers.find(m_idsOldestFirst.front());
        m_droppedBeforeRevision = std::max(m_droppedBeforeRevision, oldest->second.revision);
        m_answers.erase(oldest);
        m_idsOldestFirst.pop_front();
    }
}

void operation_answers::insert(first_answer answer)
{
    m_idsOldestFirst.push_back(answer.operationId);
    std::string id = answer.operationId;
    m_answers.emplace(std::move(id), std::move(answer));
}

void operation_answers::save(snapshot_writer &out) const
{
    out.put(m_droppedBeforeRevision);
    out.put(m_idsOldestFirst.size());
    for (const std::string &id : m_idsOldestFirst)
        out.put(m_answers.at(id));
}

void operation_answers::load(snapshot_reader &in)
{
    m_droppedBeforeRevision = in.get<std::uint64_t>();
    in.getAll<first_answer>([&](first_answer answer) { insert(std::move(answer)); });
}

} // namespace yuccascale::kernel::state
