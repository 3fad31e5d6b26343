#pragma once

#include "yuccascale/kernel/error.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief Commands of the replicated log. Durable state changes only through these commands.
///
/// Applying the same commands in the same order gives the same state on every replica. Times in
/// commands are therefore clock readings taken by the proposer.

namespace yuccascale::kernel::state {

/// \brief Puts and removes rows of the tables. An edit is applied as a whole or refused as a whole.
struct edit_tables
{
    std::uint64_t fromRevision = 0; ///< the revision that the edit is based on
    std::vector<route> putRoutes;
    std::vector<pool> putPools;
    std::vector<organisation> putOrganisations;
    std::vector<key_record> putKeys;
    std::vector<std::string> removeRoutes;
    std::vector<std::string> removePools;
    std::vector<std::string> removeOrganisations;
    std::vector<std::string> removeKeys; ///< ids of keys to withdraw
    std::int64_t wallMs = 0; ///< time of the proposal; endpoints are charged from then on
    std::vector<caller_limits> putLimits = {}; ///< at most one
    std::uint64_t documentVersion = 0;         ///< set by the feed only; 0: unchanged
    bool removeLimits = false; ///< set by the feed only: the limits of the settings apply again

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(edit_tables, fromRevision, putRoutes, putPools,
                                                putOrganisations, putKeys, removeRoutes,
                                                removePools, removeOrganisations, removeKeys,
                                                putLimits, documentVersion, removeLimits, wallMs)
};

/// \brief Replaces all tables by an operator's document. A document whose version is not above the
/// stored one is accepted and changes nothing.
struct put_document
{
    std::uint64_t version = 0;
    std::string bytes;       ///< the document as the operator sent it, for reading it back
    edit_tables tables;      ///< its rows; removals and fromRevision are not used
    std::int64_t wallMs = 0; ///< time of the proposal; endpoints are charged from then on
    /// One item, or none: the document also replaces the tables of exactly this revision, whatever
    /// version is stored with them. Needs command format 1.
    std::vector<std::uint64_t> replacesRevision = {};

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(put_document, version, bytes, tables, wallMs,
                                                replacesRevision)
};

/// \brief Claims the single run of a non-idempotent request before it is dispatched.
struct claim_request
{
    std::string organisation;
    std::string route;
    std::string idempotencyKey;
    std::string fingerprint;   ///< digest of method, path and body; detects a key reused for a
                               ///< different request
    std::string entry;         ///< entry that dispatches it: node and incarnation
    std::int64_t wallMs = 0;   ///< time of the claim
    std::int64_t issuedMs = 0; ///< when the caller made the key, if the key contains a time; else 0

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(claim_request, organisation, route, idempotencyKey,
                                                fingerprint, entry, wallMs, issuedMs)
};

/// \brief Outcomes of a claimed request.
enum class claim_outcome { Answered, NotRun, Unknown };

NLOHMANN_JSON_SERIALIZE_ENUM(claim_outcome,
                             {{claim_outcome::Answered, "answered"},
                              {claim_outcome::NotRun, "not_run"},
                              {claim_outcome::Unknown, "unknown"}})

/// \brief Records the outcome of a claimed request. The answer is kept for repeated requests with
/// the same key.
struct settle_claim
{
    std::string organisation;
    std::string route;
    std::string idempotencyKey;
    std::string entry;          ///< must be the claim's entry
    std::string claimOperation; ///< operation id of the claim, so that a late settlement of an
                                ///< earlier claim cannot settle a later one
    claim_outcome end = claim_outcome::Unknown;
    int status = 0; ///< HTTP status of the answer
    std::string contentType;
    std::string answer; ///< the whole answer; not in base64, since CBOR stores bytes

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(settle_claim, organisation, route, idempotencyKey,
                                                entry, claimOperation, end, status, contentType,
                                                answer)
};

/// \brief Usage of one organisation on one route within one batch.
struct usage_line
{
    std::string organisation;
    std::string route;
    std::int64_t windowStartMs = 0; ///< start of the usage window in which the answers ended
    std::uint64_t answers = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0; ///< of the prompt tokens, those found in the prefix cache
    std::uint64_t outputTokens = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(usage_line, organisation, route, windowStartMs,
                                                answers, promptTokens, cachedTokens, outputTokens)
};

/// \brief A batch of usage counted by an entry. It is committed before the entry sends the last
/// piece of the answers that it covers.
struct record_usage
{
    std::string entry; ///< node and incarnation
    /// Increases by one per batch of the entry; a repeated batch is counted once
    std::uint64_t sequence = 0;
    /// Watermark: the entry will report no more answers that ended before this time
    std::int64_t markMs = 0;
    std::vector<usage_line> lines;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(record_usage, entry, sequence, markMs, lines)
};

/// \brief Freezes a usage window's figures before they are reported.
struct freeze_window
{
    std::int64_t windowStartMs = 0;
    std::uint64_t fence = 0;        ///< fencing token of the reporter
    std::int64_t lengthMs = 60'000; ///< length of the window

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(freeze_window, windowStartMs, fence, lengthMs)
};

/// \brief Records that the usage interface accepted a frozen window.
struct settle_window
{
    std::int64_t windowStartMs = 0;
    bool differs = false; ///< the interface has different figures for the window and keeps them

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(settle_window, windowStartMs, differs)
};

/// \brief What an engine or the platform is ordered to do.
enum class order_kind {
    LoadModel,
    LoadAdapter,
    ChangeRole,
    Drain,
    Resume,
    StartEndpoint,
    StopEndpoint
};

NLOHMANN_JSON_SERIALIZE_ENUM(order_kind,
                             {{order_kind::LoadModel, "load_model"},
                              {order_kind::LoadAdapter, "load_adapter"},
                              {order_kind::ChangeRole, "change_role"},
                              {order_kind::Drain, "drain"},
                              {order_kind::Resume, "resume"},
                              {order_kind::StartEndpoint, "start_endpoint"},
                              {order_kind::StopEndpoint, "stop_endpoint"}})

/// \brief Records the intent to give an order. The order is sent only after this command is
/// committed.
struct open_order
{
    std::string target; ///< endpoint name, or "platform/ZONE/KIND" for the platform
    order_kind kind = order_kind::Drain;
    std::string argument;    ///< role, model@version, or endpoint kind
    std::uint64_t fence = 0; ///< fencing token of the leader that proposed it
    std::string reason;      ///< shown in the decision log and by the explain command
    std::string pool;        ///< pool of the endpoint to start; empty for other kinds

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(open_order, target, kind, argument, fence, reason,
                                                pool)
};

/// \brief Outcomes of an order.
enum class order_outcome { Done, Refused, Abandoned };

NLOHMANN_JSON_SERIALIZE_ENUM(order_outcome,
                             {{order_outcome::Done, "done"},
                              {order_outcome::Refused, "refused"},
                              {order_outcome::Abandoned, "abandoned"}})

/// \brief Records the outcome of an order as its target reported it.
struct settle_order
{
    std::uint64_t orderId = 0; ///< log index of its open_order
    order_outcome end = order_outcome::Done;
    std::string detail;
    /// When the outcome was received; endpoints are charged from or until this time
    std::int64_t wallMs = 0;
    std::vector<endpoint> started; ///< the endpoint that a start_endpoint order started, or none

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(settle_order, orderId, end, detail, wallMs, started)
};

/// \brief Makes the whole fleet reject requests with a fingerprint that crashes endpoints.
struct ban_fingerprint
{
    std::string fingerprint;
    std::string route;
    std::int64_t untilWallMs = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(ban_fingerprint, fingerprint, route, untilWallMs)
};

/// \brief Records that an entry has stopped permanently: its running claims become unknown, and
/// usage windows no longer wait for its watermark.
struct retire_entry
{
    std::string entry; ///< node and incarnation

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(retire_entry, entry)
};

/// \brief Keeps every leader from sending requests to the weight store until the store's
/// Retry-After has passed.
struct hold_fetches
{
    std::int64_t untilWallMs = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(hold_fetches, untilWallMs)
};

/// \brief Drains endpoints whose VM has announced that it will stop.
struct mark_leaving
{
    std::vector<std::string> endpoints;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(mark_leaving, endpoints)
};

/// \brief One command with the operation id that makes resends idempotent.
struct command
{
    using body_type
            = std::variant<edit_tables, claim_request, settle_claim, record_usage, freeze_window,
                           settle_window, open_order, settle_order, ban_fingerprint, retire_entry,
                           hold_fetches, mark_leaving, put_document>;

    std::string operationId; ///< a resend with the same id gets the first result
    body_type body;
};

void to_json(json &document, const command &value);
void from_json(const json &document, command &value);

/// \brief Newest format of commands that this build applies. Formats only add to earlier ones; a
/// build ignores what it does not know, so a command may enter the log only once all members apply
/// its format.
inline constexpr std::uint32_t newestCommandFormat = 1;

/// \returns the lowest format that a replica must apply so that it decides as all others.
[[nodiscard]] std::uint32_t commandFormat(const command &value) noexcept;

/// \brief Result of applying one command.
struct command_result
{
    bool accepted = false;
    error_kind kind = error_kind::Internal; ///< reason of a refusal
    std::string message;                    ///< explanation and remedy of a refusal
    std::uint64_t index = 0;                ///< log index of the first application
    std::uint64_t revision = 0;             ///< table revision after the command
    json detail; ///< command-specific: the claim's state and answer, the frozen figures, an order
                 ///< id

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(command_result, accepted, kind, message, index,
                                                revision, detail)
};

} // namespace yuccascale::kernel::state
