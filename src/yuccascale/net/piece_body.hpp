#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/error_code.hpp>

#include <cstdint>
#include <string>

/// \file
/// \brief The body of an HTTP message that is taken from the parser piece by piece.

namespace yuccascale::net {

/// \brief A Beast body that holds the bytes parsed since its value was last cleared.
///
/// Unlike `string_body` it reserves nothing for a stated length, which may be any number.
struct piece_body
{
    using value_type = std::string;

    /// \brief Appends parsed bytes to the value.
    class reader
    {
    public:
        template<bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields> &, value_type &value)
            : m_value(value)
        { }

        void init(const boost::optional<std::uint64_t> &, boost::system::error_code &problem)
        {
            problem = {};
        }

        template<typename Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &problem)
        {
            problem = {};
            std::size_t count = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                m_value.append(static_cast<const char *>(buffer.data()), buffer.size());
                count += buffer.size();
            }
            return count;
        }

        void finish(boost::system::error_code &problem) { problem = {}; }

    private:
        value_type &m_value;
    };
};

} // namespace yuccascale::net
