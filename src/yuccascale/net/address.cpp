#include "yuccascale/net/address.hpp"

#include "yuccascale/kernel/error.hpp"
#include "yuccascale/wire/socket.hpp"

namespace yuccascale::net {

bool isAddress(std::string_view text)
{
    kernel::error ignored;
    return kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_CHECK(wire::parseAddress(text));
                return {};
            },
            ignored);
}

} // namespace yuccascale::net
