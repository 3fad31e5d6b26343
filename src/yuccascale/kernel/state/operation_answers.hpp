#pragma once

#include "yuccascale/kernel/state/commands.hpp"
#include "yuccascale/kernel/state/limits.hpp"
#include "yuccascale/kernel/state/snapshot_stream.hpp"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

/// \file
/// \brief First results of operators' edits, so that the resend of an edit gets its result and not
/// a conflict.

namespace yuccascale::kernel::state {

/// \brief Results by operation id; the oldest are dropped beyond the limit.
///
/// An edit whose result was dropped cannot be applied twice, because its revision has passed. Its
/// resend is refused with error_kind::OutcomeUnknown.
class operation_answers
{
public:
    explicit operation_answers(const limits &bounds)
        : m_bounds(bounds)
    { }

    /// \returns the first result of this operation, a refusal when the id was used for another edit
    ///          or the result may have been dropped, or nothing when the edit is new.
    [[nodiscard]] std::optional<command_result> find(const std::string &operationId,
                                                     const edit_tables &edit) const;

    /// \brief Stores the first result of an operation.
    void recordFirst(const std::string &operationId, const edit_tables &edit,
                     const command_result &answer);

    void save(snapshot_writer &out) const;
    void load(snapshot_reader &in);

private:
    struct first_answer
    {
        std::string operationId;
        std::uint64_t editDigest = 0;
        bool accepted = false;
        error_kind kind = error_kind::Internal;
        std::string message;
        std::uint64_t index = 0;
        std::uint64_t revision = 0;

        NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(first_answer, operationId, editDigest, accepted,
                                                    kind, message, index, revision)
    };

    void insert(first_answer answer);

    const limits &m_bounds;
    std::unordered_map<std::string, first_answer> m_answers;
    std::deque<std::string> m_idsOldestFirst; ///< operation ids
    /// Results of edits of earlier revisions may have been dropped
    std::uint64_t m_droppedBeforeRevision = 0;
};

} // namespace yuccascale::kernel::state
