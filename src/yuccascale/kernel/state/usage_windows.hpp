#pragma once

#include "yuccascale/kernel/state/commands.hpp"
#include "yuccascale/kernel/state/endpoint_meter.hpp"
#include "yuccascale/kernel/state/limits.hpp"
#include "yuccascale/kernel/state/snapshot_stream.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

/// \file
/// \brief Usage windows: each batch is counted once, and a window does not change after it is
/// frozen.

namespace yuccascale::kernel::state {

/// \brief A frozen window with the exact bytes to report.
struct frozen_window
{
    std::int64_t windowStartMs = 0;
    std::string figures;           ///< JSON text; every attempt to report sends the same bytes
    std::uint64_t frozenIndex = 0; ///< log index of the freeze

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(frozen_window, windowStartMs, figures, frozenIndex)
};

/// \brief State of the windows for the reporter.
struct usage_view
{
    std::int64_t nextStartMs = 0; ///< start of the next window to freeze; 0 when there is none
    bool hasFrozenWindow = false; ///< true: nextStartMs is the end of the last frozen window
    std::int64_t watermarkMs = 0; ///< lowest watermark of the live entries
    std::vector<std::string> laggingEntries; ///< live entries with the lowest watermark
    std::optional<frozen_window> unreported; ///< the earliest frozen window not reported yet
    std::size_t unreportedCount = 0;
};

/// \brief Usage and costs by window. Figures are integers; costs are in millionths of the currency
/// unit.
///
/// Usage that arrives after its window was frozen is reported as a late line of the next window.
class usage_windows
{
public:
    explicit usage_windows(const limits &bounds)
        : m_bounds(bounds)
    { }

    [[nodiscard]] command_result record(const record_usage &batch);
    [[nodiscard]] command_result freeze(const freeze_window &freeze, std::uint64_t index);
    [[nodiscard]] command_result settle(const settle_window &settlement);

    /// \brief Stops waiting for an entry's watermark; its late batches are still counted once.
    void retire(const std::string &entry);

    [[nodiscard]] bool retired(const std::string &entry) const;

    /// \brief Sets the endpoints that run from \a atMs on; 0 stands for the highest watermark.
    void updateEndpoints(const std::map<std::string, pool> &pools, std::int64_t atMs);

    [[nodiscard]] usage_view view() const;

    /// \returns the lowest watermark of the live entries; the largest std::int64_t when there are
    ///          none.
    [[nodiscard]] std::int64_t lowestWatermarkMs() const noexcept;

    /// \returns the entries that are not retired.
    [[nodiscard]] std::vector<std::string> liveEntries() const;

    void save(snapshot_writer &out) const;
    void load(snapshot_reader &in);

private:
    using line_key = std::tuple<std::int64_t, std::string, std::string>; ///< window, organisation,
                                                                         ///< route
    struct entry_record
    {
        std::string entry;
        std::uint64_t sequence = 0; ///< every batch up to this one was counted
        std::int64_t markMs = 0;
        /// Watermarks of batches after a missing one, by sequence
        std::map<std::uint64_t, std::int64_t> beyond;
        bool retired = false;

        NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(entry_record, entry, sequence, markMs, beyond,
                                                    retired)
    };

    /// Sums by the window in which the answers ended; lines of earlier windows are late lines.
    struct open_window
    {
        std::int64_t startMs = 0;
        std::map<line_key, usage_line> lines;
    };

    struct reported_window
    {
        std::int64_t windowStartMs = 0;
        std::uint64_t digest = 0; ///< of the frozen figures
        bool differs = false;

        NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(reported_window, windowStartMs, digest, differs)
    };

    [[nodiscard]] std::optional<command_result> validateBatch(const record_usage &batch) const;
    void addLine(const usage_line &line);
    [[nodiscard]] std::int64_t windowFor(std::int64_t startMs) const;
    void advanceSequence(entry_record &entry, const record_usage &batch);
    void dropOldestRetired();
    [[nodiscard]] std::optional<command_result> validateFreeze(const freeze_window &freeze) const;
    [[nodiscard]] std::string buildFigures(const freeze_window &freeze);
    [[nodiscard]] std::int64_t nextWindowStart() const noexcept;

    const limits &m_bounds;
    std::map<std::string, entry_record> m_entries;
    std::deque<std::string> m_retiredOldestFirst;
    std::map<std::int64_t, open_window> m_openWindows; ///< by start
    std::int64_t m_frozenUntilMs = 0;                  ///< end of the last frozen window
    std::uint64_t m_highestFence = 0;
    std::map<std::int64_t, frozen_window> m_frozenWindows; ///< not reported yet, by start
    std::deque<reported_window> m_reportedWindows;
    std::int64_t m_highestWatermarkMs = 0;
    std::int64_t m_costRemainder = 0; ///< cost not reported yet, in millionths of the currency unit
                                      ///< per hour, times milliseconds
    endpoint_meter m_meter;
};

} // namespace yuccascale::kernel::state
