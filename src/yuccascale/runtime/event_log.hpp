#pragma once

#include "yuccascale/kernel/events.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <string>

/// \file
/// \brief The process log: numbered events through Boost.Log, as text or JSON lines.

namespace yuccascale::runtime {

/// \brief Writes events to a standard stream or a file. Thread-safe; never blocks on a slow reader:
/// lines go through a bounded queue, and those that find it full are dropped and counted.
class event_log final : public kernel::event_sink
{
public:
    /// \param node this node's name, written into each line
    event_log(const log_settings &settings, std::string node);
    ~event_log() override;
    event_log(const event_log &) = delete;
    event_log &operator=(const event_log &) = delete;

    using kernel::event_sink::record;
    void record(const kernel::event_kind &kind,
                std::span<const kernel::event_field> fields) override;

private:
    void write(const kernel::event_kind &kind, std::span<const kernel::event_field> fields);

    log_settings m_settings;
    std::string m_node;
};

/// \returns the name of a severity as used in log lines and settings, such as "warning".
[[nodiscard]] std::string_view severityName(kernel::severity level) noexcept;

} // namespace yuccascale::runtime
