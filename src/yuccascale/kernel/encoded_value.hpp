#pragma once

#include "yuccascale/kernel/json.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

/// \file
/// \brief A value that is sent to many nodes and encoded once.

namespace yuccascale::kernel {

/// \brief An immutable value with its CBOR form, which is made on first use. Thread-safe.
template<typename T>
class encoded_value
{
public:
    /// \param value must not be null
    explicit encoded_value(std::shared_ptr<const T> value)
        : m_value(std::move(value))
    { }

    [[nodiscard]] const T &value() const noexcept { return *m_value; }
    [[nodiscard]] const std::shared_ptr<const T> &pointer() const noexcept { return m_value; }

    /// \returns whether the CBOR form exists.
    [[nodiscard]] bool isEncoded() const noexcept { return m_isEncoded; }

    [[nodiscard]] const std::string &cbor() const
    {
        std::call_once(m_once, [this] {
            m_cbor = toCbor(*m_value);
            m_isEncoded = true;
        });
        return m_cbor;
    }

private:
    std::shared_ptr<const T> m_value;
    mutable std::once_flag m_once;
    mutable std::string m_cbor;
    mutable std::atomic<bool> m_isEncoded{false};
};

template<typename T>
using encoded_pointer = std::shared_ptr<const encoded_value<T>>;

/// \returns \a value, ready to be encoded.
template<typename T>
[[nodiscard]] encoded_pointer<T> makeEncoded(T value)
{
    return std::make_shared<const encoded_value<T>>(std::make_shared<const T>(std::move(value)));
}

} // namespace yuccascale::kernel
