#include "yuccascale/runtime/event_log.hpp"

#include "yuccascale/runtime/events.hpp"
#include "yuccascale/runtime/line_stream.hpp"

#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/formatter_parser.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <utility>

namespace yuccascale::runtime {

namespace {

namespace logging = boost::log;

constexpr std::array<std::string_view, 4> severityNames{"debug", "info", "warning", "error"};

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t wholeSeconds = std::chrono::system_clock::to_time_t(now);
    const auto milliseconds
            = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()
            % 1000;
    std::tm parts{};
    gmtime_r(&wholeSeconds, &parts);
    std::array<char, 40> text{};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string digits = std::to_string(1000 + milliseconds);
    return std::string(text.data(), size) + "." + digits.substr(1) + "Z";
}

std::string jsonLine(const kernel::event_kind &kind, std::string_view node,
                     std::span<const kernel::event_field> fields)
{
    nlohmann::ordered_json line{{"time", timestamp()},
                                {"level", severityName(kind.level())},
                                {"node", node},
                                {"event", kind.number()},
                                {"name", kind.name()}};
    for (const kernel::event_field &field : fields)
        line[std::string(field.name)] = field.value;
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string textLine(const kernel::event_kind &kind, std::string_view node,
                     std::span<const kernel::event_field> fields)
{
    std::string line = timestamp();
    line += " ";
    line += severityName(kind.level());
    line += " ";
    line += node;
    line += " [" + std::to_string(kind.number()) + "] ";
    line += kind.name();
    for (const kernel::event_field &field : fields) {
        line += " ";
        line += field.name;
        line += "=";
        line += nlohmann::json(field.value)
                        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    return line;
}

/// Log lines queued for writing; further ones are dropped and counted.
constexpr std::size_t maxQueuedLines = 4'096;

std::atomic<std::uint64_t> droppedLines{0};

/// Drops a line that finds the queue full, so that a stalled reader of the log blocks no thread.
class count_dropped
{
public:
    template<typename Lock>
    static bool on_overflow(const logging::record_view &, Lock &) // NOLINT: Boost.Log names it
    {
        ++droppedLines;
        return false;
    }
    static void on_queue_space_available() { } // NOLINT: Boost.Log names it
    static void interrupt() { }
};

using line_queue = logging::sinks::bounded_fifo_queue<maxQueuedLines, count_dropped>;
using line_sink
        = logging::sinks::asynchronous_sink<logging::sinks::text_ostream_backend, line_queue>;

/// The log sink of this process; its thread writes the lines.
boost::shared_ptr<line_sink> &processSink()
{
    static boost::shared_ptr<line_sink> sink;
    return sink;
}

void addSink(const std::string &file)
{
    const auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
    backend->add_stream(boost::make_shared<line_stream>(file, droppedLines));
    backend->auto_flush(true);
    processSink() = boost::make_shared<line_sink>(backend);
    logging::core::get()->add_sink(processSink());
}

void removeSink()
{
    const boost::shared_ptr<line_sink> sink = std::exchange(processSink(), nullptr);
    if (!sink)
        return;
    logging::core::get()->remove_sink(sink);
    sink->stop();
    sink->flush();
}

} // namespace

std::string_view severityName(kernel::severity level) noexcept
{
    return severityNames[static_cast<std::size_t>(level)];
}

event_log::event_log(const log_settings &settings, std::string node)
    : m_settings(settings)
    , m_node(std::move(node))
{
    addSink(settings.file);
}

event_log::~event_log()
{
    removeSink();
}

void event_log::record(const kernel::event_kind &kind, std::span<const kernel::event_field> fields)
{
    if (kind.level() < m_settings.level)
        return;
    if (const std::uint64_t dropped = droppedLines.exchange(0); dropped > 0)
        write(linesDropped, std::array{kernel::event_field("count", dropped)});
    write(kind, fields);
}

void event_log::write(const kernel::event_kind &kind, std::span<const kernel::event_field> fields)
{
    thread_local logging::sources::severity_logger<kernel::severity> logger;
    BOOST_LOG_SEV(logger, kind.level())
            << (m_settings.json ? jsonLine(kind, m_node, fields) : textLine(kind, m_node, fields));
}

} // namespace yuccascale::runtime
