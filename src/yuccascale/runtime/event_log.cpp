#include "yuccascale/runtime/event_log.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/formatter_parser.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iostream>
#include <utility>

namespace yuccascale::runtime {

namespace {

namespace logging = boost::log;

constexpr std::array<std::string_view, 4> severityNames{"debug", "info", "warning", "error"};

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t whole = std::chrono::system_clock::to_time_t(now);
    const auto milliseconds
            = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()
            % 1000;
    std::tm parts{};
    gmtime_r(&whole, &parts);
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

void addSink(const std::string &file)
{
    using text_sink = logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;
    const auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
    if (file.empty())
        backend->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
    else if (file == "-")
        backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    else
        backend->add_stream(boost::make_shared<std::ofstream>(file, std::ios::app));
    backend->auto_flush(true);
    logging::core::get()->add_sink(boost::make_shared<text_sink>(backend));
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
    logging::core::get()->remove_all_sinks();
}

void event_log::record(const kernel::event_kind &kind, std::span<const kernel::event_field> fields)
{
    if (kind.level() < m_settings.level)
        return;
    thread_local logging::sources::severity_logger<kernel::severity> logger;
    BOOST_LOG_SEV(logger, kind.level())
            << (m_settings.json ? jsonLine(kind, m_node, fields) : textLine(kind, m_node, fields));
}

} // namespace yuccascale::runtime
