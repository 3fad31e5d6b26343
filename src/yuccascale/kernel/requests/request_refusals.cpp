#include "yuccascale/kernel/requests/request_refusals.hpp"

#include "yuccascale/kernel/requests/key_check.hpp"

namespace yuccascale::kernel::requests {

refusal leavingRefusal()
{
    return {error_kind::NotReady,
            "this entry is shutting down and may end before the answer; retry at another entry "
            "address",
            false,
            {}};
}

refusal refusalOf(start_check check)
{
    switch (check) {
    case start_check::KeyWithdrawn:
        return {error_kind::Unauthorized, "the key is not valid; use a valid one", false, {}};
    case start_check::NotFresh:
        return {error_kind::NotReady,
                "this entry cannot confirm that its tables are current; retry at another entry "
                "address",
                false, controlRetryAfter};
    case start_check::Banned:
        return bannedRefusal();
    case start_check::Leaving:
        return leavingRefusal();
    case start_check::Allowed:
        break;
    }
    return {};
}

} // namespace yuccascale::kernel::requests
