#include "yuccascale/kernel/json_text.hpp"

#include <set>

namespace yuccascale::kernel {

namespace {

constexpr std::size_t maxForeignBytes = 64U << 10U;
constexpr int maxForeignDepth = 32;

/// Finds the ends of values by brackets and quotes alone.
class text_scanner
{
public:
    explicit text_scanner(std::string_view text)
        : m_text(text)
    { }

    [[nodiscard]] bool atEnd() const noexcept { return m_at >= m_text.size(); }

    /// \returns whether the next character that is no space is \a wanted, and passes over it then.
    bool skip(char wanted)
    {
        skipSpaces();
        if (atEnd() || m_text[m_at] != wanted)
            return false;
        ++m_at;
        return true;
    }

    /// \returns the text up to the comma, colon or bracket that ends the value.
    [[nodiscard]] std::string_view value()
    {
        skipSpaces();
        const std::size_t begin = m_at;
        int depth = 0;
        for (; !atEnd(); ++m_at) {
            const char next = m_text[m_at];
            if (next == '"')
                skipString();
            else if (next == '{' || next == '[')
                ++depth;
            else if (depth == 0 && (next == ',' || next == ':' || next == '}' || next == ']'))
                break;
            else if (next == '}' || next == ']')
                --depth;
        }
        return m_text.substr(begin, m_at - begin);
    }

private:
    void skipSpaces()
    {
        while (!atEnd() && std::string_view(" \t\r\n").find(m_text[m_at]) != std::string_view::npos)
            ++m_at;
    }

    /// Stops at the closing quote.
    void skipString()
    {
        for (++m_at; !atEnd() && m_text[m_at] != '"'; ++m_at) {
            if (m_text[m_at] == '\\')
                ++m_at;
        }
    }

    std::string_view m_text;
    std::size_t m_at = 0;
};

/// Refuses texts that nest too deeply or repeat a member of the outermost object.
class foreign_rules
{
public:
    bool operator()(int depth, json::parse_event_t parsed, const json &value)
    {
        if (depth > maxForeignDepth)
            m_broken = true;
        if (parsed == json::parse_event_t::key && depth == 1)
            m_broken = !m_names.insert(value.get<std::string>()).second || m_broken;
        return !m_broken;
    }

    [[nodiscard]] bool broken() const noexcept { return m_broken; }

private:
    std::set<std::string> m_names;
    bool m_broken = false;
};

} // namespace

std::optional<std::string_view> memberText(std::string_view object, std::string_view name)
{
    text_scanner scanner(object);
    if (!scanner.skip('{'))
        return std::nullopt;
    const std::string quoted = "\"" + std::string(name) + "\"";
    do {
        const std::string_view key = scanner.value();
        if (!scanner.skip(':'))
            return std::nullopt;
        const std::string_view value = scanner.value();
        if (key.starts_with(quoted))
            return value;
    } while (scanner.skip(','));
    return std::nullopt;
}

std::optional<std::vector<std::string_view>> elementTexts(std::string_view array)
{
    text_scanner scanner(array);
    if (!scanner.skip('['))
        return std::nullopt;
    std::vector<std::string_view> out;
    if (scanner.skip(']'))
        return out;
    do {
        out.push_back(scanner.value());
    } while (scanner.skip(','));
    return out;
}

json readForeign(std::string_view text)
{
    if (text.size() > maxForeignBytes || holdsNulByte(text))
        return json(json::value_t::discarded);
    foreign_rules rules;
    json value = json::parse(text, std::ref(rules), false);
    return rules.broken() ? json(json::value_t::discarded) : value;
}

std::optional<std::int64_t> wholeNumber(const json &value, std::int64_t least, std::int64_t most)
{
    if (!value.is_number_integer())
        return std::nullopt;
    const bool tooGreat = value.is_number_unsigned()
            && value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    const std::int64_t number = tooGreat ? INT64_MAX : value.get<std::int64_t>();
    return tooGreat || number < least || number > most ? std::nullopt : std::optional(number);
}

std::string toText(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace yuccascale::kernel
