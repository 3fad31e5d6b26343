#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Reads typed fields of a YAML mapping and collects all problems with their lines.

namespace yuccascale::runtime {

/// \brief Reads one mapping of a settings file. All readers of a file report into one list of
///        problems.
class yaml_reader
{
public:
    yaml_reader(std::string file, const YAML::Node &node, std::vector<std::string> &problems);

    /// \returns the text of a mandatory field; a missing or empty one is a problem.
    [[nodiscard]] std::string required(std::string_view field);

    /// \brief Reads a text; \a out is unchanged when the field is missing.
    void text(std::string_view field, std::string &out);

    /// \returns the texts of a list field; empty when it is missing.
    [[nodiscard]] std::vector<std::string> texts(std::string_view field);

    /// \returns the texts of a mapping field by name; empty when it is missing.
    [[nodiscard]] std::map<std::string, std::string> pairs(std::string_view field);

    /// \brief Reads true or false.
    void flag(std::string_view field, bool &out);

    /// \brief Reads a number of zero or more.
    void number(std::string_view field, double &out);

    /// \returns a validated "IP:port"; empty when the field is missing.
    [[nodiscard]] std::string address(std::string_view field, bool mustExist);

    /// \brief Reads a duration with its unit: ms, s, m or h.
    void duration(std::string_view field, kernel::milliseconds &out);

    /// \brief Reads a size with its unit: B, KB, MB or GB (powers of 1024).
    void bytes(std::string_view field, std::int64_t &out);

    /// \brief Reads a whole number above zero.
    template<typename Number>
    void count(std::string_view field, Number &out)
    {
        std::int64_t value = 0;
        if (wholeNumber(field, value))
            out = static_cast<Number>(value);
    }

    /// \brief Runs the action for the value of the field; a value without one is a problem.
    void choose(std::string_view field,
                const std::map<std::string, std::function<void()>> &choices);

    /// \returns readers for the mappings of a list field.
    [[nodiscard]] std::vector<yaml_reader> list(std::string_view field);

    /// \returns a reader for a mapping field; an empty one when it is missing.
    [[nodiscard]] yaml_reader child(std::string_view field);

    /// \brief Reports each field of the mapping that no call has read.
    void rejectUnknownFields();

    /// \brief Adds a problem with file, line and \a field to the list.
    void problem(std::string_view field, const std::string &message);

private:
    void rejectDuplicateFields();
    [[nodiscard]] YAML::Node find(std::string_view field);
    [[nodiscard]] bool wholeNumber(std::string_view field, std::int64_t &out);
    [[nodiscard]] bool scalarWithUnit(std::string_view field,
                                      const std::map<std::string, std::int64_t> &units,
                                      std::string_view sample, double &out);

    std::string m_file;
    YAML::Node m_node;
    std::vector<std::string> *m_problems;
    std::set<std::string, std::less<>> m_requestedFields;
};

} // namespace yuccascale::runtime
