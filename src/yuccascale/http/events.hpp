#pragma once

#include "yuccascale/kernel/events.hpp"

/// \file
/// \brief Events of the HTTP interfaces: 6000 to 6999.

namespace yuccascale::http {

using kernel::event_kind;
using kernel::severity;

inline const event_kind operatorRefused{
        6001, "operator_refused", severity::Warning,
        "A request to the operator interface was refused because it lacked the operator key."};
inline const event_kind editAnswered{
        6002, "edit_answered", severity::Info,
        "An operator's edit was accepted or refused; the fields say why."};
inline const event_kind keyCreated{6003, "key_created", severity::Info,
                                   "An operator created a key for an organisation."};

inline const event_kind documentAnswered{
        6004, "document_answered", severity::Info,
        "An operator's whole document was accepted, refused as a whole, or left without a clear "
        "answer because no quorum committed it in time. 'changed' says whether it replaced the "
        "stored one; without that, an equal or higher version is stored. A document that could not "
        "be read has the version 'unread'."};

inline const event_kind memoryShort{
        6005, "memory_short", severity::Warning,
        "Connections of callers hold as much memory as http.memory allows, so those that hold most "
        "and progress least are shed: 'refused' unfinished requests got 503, 'closed' connections "
        "did not read their answers, both since the start. Logged at most every 5 s; look for "
        "callers that stop before the end of large bodies."};

inline const event_kind entryOverloaded{
        6006, "entry_overloaded", severity::Warning,
        "Requests wait for this entry's event loop for 'lag_ms', so a part of the new ones is "
        "refused as not run: 'refused' since the start. At most one line a second for each loop. "
        "The entry is short of processor time: add entries, or processors to its VM."};

} // namespace yuccascale::http
