#pragma once

#include "yuccascale/kernel/events.hpp"

/// \file
/// \brief Events 4100 to 4199: usage windows.

namespace yuccascale::kernel::usage {

inline const event_kind windowFrozen{4101, "usage_window_frozen", severity::Info,
                                     "A usage window's figures are to be frozen in the log."};
inline const event_kind windowReported{4102, "usage_window_reported", severity::Info,
                                       "The usage interface accepted a window's figures."};
inline const event_kind windowAnswerLost{4103, "usage_answer_lost", severity::Warning,
                                         "No answer to a usage report came in time; the same bytes "
                                         "are sent again. Nothing to do unless it repeats."};
inline const event_kind windowDiffers{4104, "usage_window_differs", severity::Error,
                                      "The usage interface holds other figures for this window and "
                                      "keeps those; compare both and settle it with the platform."};
inline const event_kind windowWaits{4105, "usage_window_waits", severity::Warning,
                                    "A usage window cannot be frozen because entries have not "
                                    "passed its end; restart them or retire those that are gone."};

inline const event_kind entryRetired{4106, "entry_retired", severity::Info,
                                     "An entry is gone for good: its mark is no longer waited for "
                                     "and its open claims have an unknown outcome."};

} // namespace yuccascale::kernel::usage
