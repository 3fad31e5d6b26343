#include "yuccascale/runtime/yaml_reader.hpp"

#include "yuccascale/kernel/text_distance.hpp"
#include "yuccascale/wire/socket.hpp"

#include <charconv>
#include <utility>

namespace yuccascale::runtime {

yaml_reader::yaml_reader(std::string file, const YAML::Node &node,
                         std::vector<std::string> &problems)
    : m_file(std::move(file))
    , m_node(node)
    , m_problems(&problems)
{
    if (!m_node.IsMap() && !m_node.IsNull())
        problem("", "expected a mapping; write it as 'field: value' lines");
    rejectDuplicateFields();
}

void yaml_reader::rejectDuplicateFields()
{
    if (!m_node.IsMap())
        return;
    std::set<std::string> seen;
    for (const auto &pair : m_node) {
        const std::string &name = pair.first.Scalar();
        if (!seen.insert(name).second)
            problem(name, "field is set twice; keep one of the two");
    }
}

YAML::Node yaml_reader::find(std::string_view field)
{
    m_requestedFields.emplace(field);
    if (!m_node.IsMap())
        return YAML::Node(YAML::NodeType::Undefined);
    return std::as_const(m_node)[std::string(field)];
}

void yaml_reader::problem(std::string_view field, const std::string &message)
{
    int line = m_node.Mark().line;
    if (m_node.IsMap() && !field.empty()) {
        for (const auto &pair : m_node) {
            if (pair.first.Scalar() == field)
                line = pair.first.Mark().line;
        }
    }
    std::string text = m_file + ":" + std::to_string(line + 1) + ": ";
    if (!field.empty())
        text += std::string(field) + ": ";
    m_problems->push_back(text + message);
}

std::string yaml_reader::required(std::string_view field)
{
    std::string out;
    text(field, out);
    if (out.empty())
        problem(field, "missing; add '" + std::string(field) + ": ...'");
    return out;
}

void yaml_reader::text(std::string_view field, std::string &out)
{
    const YAML::Node value = find(field);
    if (!value.IsDefined())
        return;
    if (value.IsScalar())
        out = value.Scalar();
    else
        problem(field, "expected a single value; write it as 'field: value'");
}

std::vector<std::string> yaml_reader::texts(std::string_view field)
{
    std::vector<std::string> out;
    const YAML::Node value = find(field);
    if (!value.IsDefined())
        return out;
    if (!value.IsSequence()) {
        problem(field, "expected a list, such as [entry, control]");
        return out;
    }
    for (const auto &item : value)
        out.push_back(item.Scalar());
    return out;
}

std::string yaml_reader::address(std::string_view field, bool mustExist)
{
    std::string out;
    if (mustExist)
        out = required(field);
    else
        text(field, out);
    if (out.empty())
        return out;
    kernel::error parseError;
    if (!kernel::succeeded([&] { return wire::parseAddress(out); }, parseError))
        problem(field, "'" + out + "' is " + parseError.message);
    return out;
}

bool yaml_reader::scalarWithUnit(std::string_view field,
                                 const std::map<std::string, std::int64_t> &units,
                                 std::string_view sample, double &out)
{
    std::string value;
    text(field, value);
    if (value.empty())
        return false;
    double number = 0;
    const char *end = value.data() + value.size();
    const auto [stop, errorCode] = std::from_chars(value.data(), end, number);
    std::string unit(stop, end);
    unit.erase(0, unit.find_first_not_of(' '));
    const auto found = units.find(unit);
    if (errorCode != std::errc() || found == units.end() || number <= 0) {
        problem(field, "'" + value + "' has no known unit; write it as " + std::string(sample));
        return false;
    }
    out = number * static_cast<double>(found->second);
    return true;
}

void yaml_reader::duration(std::string_view field, kernel::milliseconds &out)
{
    double value = 0;
    if (scalarWithUnit(field, {{"ms", 1}, {"s", 1'000}, {"m", 60'000}, {"h", 3'600'000}},
                       "250ms, 3s, 5m or 1h", value))
        out = kernel::milliseconds(static_cast<std::int64_t>(value));
}

void yaml_reader::bytes(std::string_view field, std::int64_t &out)
{
    double value = 0;
    if (scalarWithUnit(field, {{"B", 1}, {"KB", 1 << 10}, {"MB", 1 << 20}, {"GB", 1 << 30}},
                       "512B, 64KB, 8MB or 1GB", value))
        out = static_cast<std::int64_t>(value);
}

bool yaml_reader::wholeNumber(std::string_view field, std::int64_t &out)
{
    double value = 0;
    if (!scalarWithUnit(field, {{"", 1}}, "a whole number above zero", value))
        return false;
    out = static_cast<std::int64_t>(value);
    if (static_cast<double>(out) == value)
        return true;
    problem(field, "must be a whole number; write one without a fraction");
    return false;
}

void yaml_reader::number(std::string_view field, double &out)
{
    std::string value;
    text(field, value);
    if (value.empty())
        return;
    double read = 0;
    const char *end = value.data() + value.size();
    const auto [stop, errorCode] = std::from_chars(value.data(), end, read);
    if (errorCode != std::errc() || stop != end || read < 0)
        problem(field, "'" + value + "' is not a number of zero or more; correct it");
    else
        out = read;
}

void yaml_reader::flag(std::string_view field, bool &out)
{
    choose(field, {{"true", [&] { out = true; }}, {"false", [&] { out = false; }}});
}

std::map<std::string, std::string> yaml_reader::pairs(std::string_view field)
{
    std::map<std::string, std::string> out;
    const YAML::Node value = find(field);
    if (!value.IsDefined() || value.IsNull())
        return out;
    if (!value.IsMap()) {
        problem(field, "expected a mapping; write it as '{name: value}'");
        return out;
    }
    for (const auto &pair : value)
        out[pair.first.Scalar()] = pair.second.Scalar();
    return out;
}

void yaml_reader::choose(std::string_view field,
                         const std::map<std::string, std::function<void()>> &choices)
{
    std::string value;
    text(field, value);
    if (value.empty())
        return;
    const auto found = choices.find(value);
    if (found != choices.end()) {
        found->second();
        return;
    }
    std::string choiceNames;
    for (const auto &[choice, action] : choices)
        choiceNames += " " + choice;
    problem(field, "'" + value + "' is not known; use one of:" + choiceNames);
}

std::vector<yaml_reader> yaml_reader::list(std::string_view field)
{
    std::vector<yaml_reader> out;
    const YAML::Node value = find(field);
    if (!value.IsDefined() || !value.IsSequence() || value.size() == 0) {
        problem(field, "missing or not a list; add at least one item");
        return out;
    }
    for (const auto &item : value)
        out.emplace_back(m_file, item, *m_problems);
    return out;
}

yaml_reader yaml_reader::child(std::string_view field)
{
    const YAML::Node value = find(field);
    return {m_file, value.IsDefined() ? value : YAML::Node(), *m_problems};
}

void yaml_reader::rejectUnknownFields()
{
    if (!m_node.IsMap())
        return;
    for (const auto &pair : m_node) {
        const std::string name = pair.first.Scalar();
        if (m_requestedFields.contains(name))
            continue;
        const std::vector<std::string> known(m_requestedFields.begin(), m_requestedFields.end());
        problem(name, "unknown field; did you mean '" + kernel::nearestWord(name, known) + "'?");
    }
}

} // namespace yuccascale::runtime
