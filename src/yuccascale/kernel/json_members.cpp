#include "yuccascale/kernel/json_members.hpp"

#include "yuccascale/kernel/json_text.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace yuccascale::kernel {

namespace {

constexpr std::size_t memberDepth = 1; ///< of the outermost object's members

/// Receives the parts of a text and keeps the wanted members only.
class member_reader final : public json::json_sax_t
{
public:
    explicit member_reader(std::span<const std::string_view> names)
        : m_names(names)
    { }

    [[nodiscard]] member_map takeMembers() noexcept { return std::move(m_members); }

    bool null() override { return value(nullptr); }
    bool boolean(bool read) override { return value(read); }
    bool number_integer(number_integer_t read) override { return value(read); }
    bool number_unsigned(number_unsigned_t read) override { return value(read); }
    bool number_float(number_float_t read, const string_t &) override { return value(read); }
    bool string(string_t &read) override { return value(read); }
    bool binary(binary_t &) override { return false; }

    bool start_object(std::size_t) override
    {
        keep(nullptr);
        ++m_depth;
        return true;
    }

    bool key(string_t &name) override
    {
        if (m_depth == memberDepth)
            m_wanted = std::ranges::find(m_names, name) != m_names.end()
                    ? std::optional(std::move(name))
                    : std::nullopt;
        return true;
    }

    bool end_object() override
    {
        --m_depth;
        return true;
    }

    bool start_array(std::size_t) override
    {
        if (m_depth == 0)
            return false;
        return start_object(0);
    }

    bool end_array() override { return end_object(); }

    bool parse_error(std::size_t, const std::string &, const json::exception &) override
    {
        return false;
    }

private:
    template<typename T>
    [[nodiscard]] bool value(const T &read)
    {
        keep(read);
        return m_depth > 0; // else the text is no object
    }

    template<typename T>
    void keep(const T &read)
    {
        if (m_depth != memberDepth || !m_wanted)
            return;
        m_members.insert_or_assign(std::move(*m_wanted), json(read));
        m_wanted.reset();
    }

    std::span<const std::string_view> m_names;
    std::optional<std::string> m_wanted; ///< name of the member whose value comes next
    std::size_t m_depth = 0;
    member_map m_members;
};

} // namespace

std::optional<member_map> readScalarMembers(std::string_view text,
                                            std::span<const std::string_view> names)
{
    if (holdsNulByte(text))
        return std::nullopt;
    member_reader reader(names);
    if (!json::sax_parse(text, &reader))
        return std::nullopt;
    return reader.takeMembers();
}

} // namespace yuccascale::kernel
