#include "yuccascale/kernel/json_bounds.hpp"

#include "yuccascale/kernel/json_text.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <unordered_set>
#include <vector>

namespace yuccascale::kernel {

namespace {

using part = json::parse_event_t;

constexpr int memberDepth = 1; ///< of the outermost object's members

/// Decides which parts of a text are kept. The parser passes each part with its depth.
class bounded_reader
{
public:
    explicit bounded_reader(const json_bounds &bounds)
        : m_bounds(bounds)
    { }

    /// \returns whether the part is kept.
    [[nodiscard]] bool operator()(int depth, part read, const json &value)
    {
        if (read == part::key && depth == memberDepth)
            m_skipping = !isWanted(value.get_ref<const std::string &>());
        if (depth < memberDepth)
            m_skipping = false;
        if (m_skipping || m_exceeded || isRepeated())
            return false;
        count(depth, read);
        trackNames(read, value);
        return !m_exceeded && !isRepeated();
    }

    [[nodiscard]] bool exceeded() const noexcept { return m_exceeded; }
    [[nodiscard]] bool isRepeated() const noexcept { return !m_repeated.empty(); }

    /// \returns a name that one object has twice, in quotes; empty when there is none.
    [[nodiscard]] const std::string &repeated() const noexcept { return m_repeated; }

private:
    [[nodiscard]] bool isWanted(const std::string &name) const
    {
        return std::ranges::find(m_bounds.members, name) != m_bounds.members.end();
    }

    void count(int depth, part read)
    {
        const bool opens = read == part::object_start || read == part::array_start;
        if (opens || read == part::value)
            ++m_values;
        m_exceeded = m_values > m_bounds.values || (opens && depth >= m_bounds.depth);
    }

    void trackNames(part read, const json &value)
    {
        if (read == part::object_start)
            m_names.emplace_back();
        else if (read == part::object_end)
            m_names.pop_back();
        else if (read == part::key && !m_names.back().insert(hashOf(value)).second)
            m_repeated = toText(value);
    }

    [[nodiscard]] static std::size_t hashOf(const json &name)
    {
        return std::hash<std::string>()(name.get_ref<const std::string &>());
    }

    const json_bounds &m_bounds;
    std::size_t m_values = 0;
    bool m_skipping = false; ///< inside a member that is not read
    bool m_exceeded = false;
    /// Hashes of the names in each object around the current part, which take less than the names
    std::vector<std::unordered_set<std::size_t>> m_names;
    std::string m_repeated;
};

[[nodiscard]] boost::leaf::error_id refuse(std::string message)
{
    return fail(error_kind::InvalidArgument, "document", std::move(message));
}

} // namespace

result<json> readBounded(std::string_view text, const json_bounds &bounds)
{
    if (holdsNulByte(text))
        return refuse("it holds a NUL byte, so it is no JSON; send the JSON text alone");
    bounded_reader reader(bounds);
    json value = json::parse(text, std::ref(reader), false);
    if (reader.isRepeated())
        return refuse(reader.repeated() + " is named twice in one object; name it once");
    if (reader.exceeded())
        return refuse("nested in more than " + std::to_string(bounds.depth) + " lists, or of more "
                      + "than " + std::to_string(bounds.values) + " values; send a smaller one");
    if (!value.is_object())
        return refuse("not a JSON object, truncated, or followed by other bytes; send the whole "
                      "document and nothing else");
    return value;
}

} // namespace yuccascale::kernel
