#pragma once

#include "yuccascale/kernel/state/commands.hpp"

/// \file
/// \brief Gives the pools of a document the kinds that the tables ask for.

namespace yuccascale::platform {

/// \brief Model of engines whose document names none.
inline constexpr const char *unnamedModel = "default";

/// \brief Sets the kinds of routes, and of the pools that share a route.
///
/// The platform lets a route be split between an engine service and a plain one. The tables want
/// one kind for a route, so a plain service beside an engine service becomes a pool of engines too,
/// whose model and KV cache are not known. So do, in turn, those that share other routes with it.
///
/// \param tables with putPools of the kinds that the document gives them
void alignKinds(kernel::state::edit_tables &tables);

} // namespace yuccascale::platform
