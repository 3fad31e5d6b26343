#pragma once

#include "yuccascale/kernel/events.hpp"

/// \file
/// \brief Events 5000 to 5999: roles and placement.

namespace yuccascale::kernel::policy {

inline const event_kind roleChangeDecided{5001, "role_change_decided", severity::Info,
                                          "The leader decided to change an engine's role; reason "
                                          "holds the figures it was decided from."};
inline const event_kind startDecided{5010, "endpoint_start_decided", severity::Info,
                                     "The leader decided to order an endpoint; reason holds the "
                                     "figures it was decided from."};
inline const event_kind stopDecided{5011, "endpoint_stop_decided", severity::Info,
                                    "The leader decided to stop an endpoint; it is drained first."};
inline const event_kind offerAvoided{5012, "offer_avoided", severity::Warning,
                                     "A cheap kind was reclaimed or refused in a zone and is left "
                                     "alone for a while; nothing to do unless it lasts."};

} // namespace yuccascale::kernel::policy
