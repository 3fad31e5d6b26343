#pragma once

#include "yuccascale/kernel/json.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// \brief A snapshot as a sequence of CBOR items, so that only one is decoded at a time.

namespace yuccascale::kernel::state {

/// \brief Appends items, each preceded by its length (4 bytes, little-endian).
class snapshot_writer
{
public:
    template<typename T>
    void put(const T &value)
    {
        m_item.clear();
        json::to_cbor(json(value), m_item);
        auto length = static_cast<std::uint32_t>(m_item.size());
        for (std::size_t byte = 0; byte < lengthBytes; ++byte) {
            m_bytes.push_back(static_cast<char>(length & 0xffU));
            length >>= 8U;
        }
        m_bytes += m_item;
    }

    /// \brief Appends the number of items and the items of a container.
    template<typename Range>
    void putAll(const Range &items)
    {
        put(items.size());
        for (const auto &item : items)
            put(item);
    }

    /// \returns the bytes of all items put so far, and leaves the writer empty.
    [[nodiscard]] std::string take() { return std::move(m_bytes); }

    static constexpr std::size_t lengthBytes = 4;

private:
    std::string m_bytes;
    std::string m_item;
};

/// \brief Reads the items that a snapshot_writer put, in the same order. Throws json::exception
/// when the bytes cannot be decoded.
class snapshot_reader
{
public:
    explicit snapshot_reader(std::string_view bytes)
        : m_rest(bytes)
    { }

    template<typename T>
    [[nodiscard]] T get()
    {
        return json::from_cbor(nextItem()).get<T>();
    }

    /// \brief Reads a container that putAll() wrote and passes each item to \a consume.
    template<typename T, typename Consumer>
    void getAll(Consumer &&consume)
    {
        const auto count = get<std::size_t>();
        for (std::size_t item = 0; item < count; ++item)
            consume(get<T>());
    }

    [[nodiscard]] bool atEnd() const noexcept { return m_rest.empty(); }

private:
    [[nodiscard]] std::string_view nextItem()
    {
        if (m_rest.size() < snapshot_writer::lengthBytes)
            return {};
        std::uint32_t length = 0;
        for (std::size_t byte = 0; byte < snapshot_writer::lengthBytes; ++byte)
            length |= static_cast<std::uint32_t>(static_cast<unsigned char>(m_rest[byte]))
                    << (8U * byte);
        m_rest.remove_prefix(snapshot_writer::lengthBytes);
        const std::string_view item = m_rest.substr(0, length);
        m_rest.remove_prefix(item.size());
        return item;
    }

    std::string_view m_rest;
};

} // namespace yuccascale::kernel::state
