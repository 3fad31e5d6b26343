#pragma once

#include <concepts>
#include <cstddef>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// \brief Numbered log events. docs/events.md is their catalogue, printed by `yuccascale events`.
///
/// Number ranges: 1000 node, 2000 requests and routing, 3000 consensus and authority,
/// 4000 orders, usage and tables, 5000 roles and placement, 6000 interfaces.

namespace yuccascale::kernel {

/// \brief Importance of an event.
enum class severity { Debug, Info, Warning, Error };

/// \brief One entry of the event catalogue. Instances have namespace scope and register themselves.
///
/// \example
///     inline const event_kind routeChosen{2001, "route_chosen", severity::Info, "an endpoint
///     ..."};
class event_kind
{
public:
    /// \param number unique in the catalogue
    /// \param meaning one sentence for the catalogue: what happened and what to do, if anything
    event_kind(int number, std::string_view name, severity level, std::string_view meaning);

    [[nodiscard]] int number() const noexcept { return m_number; }
    [[nodiscard]] std::string_view name() const noexcept { return m_name; }
    [[nodiscard]] severity level() const noexcept { return m_level; }
    [[nodiscard]] std::string_view meaning() const noexcept { return m_meaning; }

    /// \returns the whole catalogue, sorted by number.
    [[nodiscard]] static std::vector<const event_kind *> catalogue();

private:
    int m_number;
    std::string_view m_name;
    severity m_level;
    std::string_view m_meaning;
};

/// \brief Longest value of a field in bytes; longer ones are cut. Callers choose some of them, and
///        recent events are kept in memory.
inline constexpr std::size_t maxFieldBytes = 512;

/// \brief A named value of an event. Keys, prompts and answers must never be logged in one.
struct event_field
{
    std::string_view name;
    std::string value;

    event_field(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text.substr(0, maxFieldBytes))
    { }
    event_field(std::string_view fieldName, std::integral auto number)
        : name(fieldName)
        , value(std::to_string(number))
    { }
    event_field(std::string_view fieldName, std::floating_point auto number)
        : name(fieldName)
        , value(std::to_string(number))
    { }
};

/// \brief Receives the events that decision code records about what it decided and why.
class event_sink
{
public:
    virtual ~event_sink() = default;

    /// \brief Records one event.
    virtual void record(const event_kind &kind, std::span<const event_field> fields) = 0;

    /// \brief Records one event with fields given as an initializer list.
    void record(const event_kind &kind, std::initializer_list<event_field> fields)
    {
        record(kind, std::span(fields.begin(), fields.size()));
    }
};

} // namespace yuccascale::kernel
