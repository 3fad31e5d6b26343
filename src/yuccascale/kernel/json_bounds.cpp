#include "yuccascale/kernel/json_bounds.hpp"

#include <algorithm>
#include <functional>
#include <string>

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
        if (m_skipping || m_exceeded)
            return false;
        count(depth, read);
        return !m_exceeded;
    }

    [[nodiscard]] bool exceeded() const noexcept { return m_exceeded; }

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

    const json_bounds &m_bounds;
    std::size_t m_values = 0;
    bool m_skipping = false; ///< inside a member that is not read
    bool m_exceeded = false;
};

} // namespace

json readBounded(std::string_view text, const json_bounds &bounds)
{
    bounded_reader reader(bounds);
    json value = json::parse(text, std::ref(reader), false);
    return reader.exceeded() || !value.is_object() ? json(json::value_t::discarded)
                                                   : std::move(value);
}

} // namespace yuccascale::kernel
