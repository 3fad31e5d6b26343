#pragma once

#include "yuccascale/kernel/events.hpp"

/// \file
/// \brief Events 4100 to 4199: usage windows.

namespace yuccascale::kernel::usage {

inline const event_kind windowFrozen{
        4101, "usage_window_frozen", severity::Info,
        "The leader proposed to freeze a usage window's figures in the log."};
inline const event_kind windowReported{4102, "usage_window_reported", severity::Info,
                                       "The usage interface accepted a window's figures."};
inline const event_kind windowAnswerLost{
        4103, "usage_answer_lost", severity::Warning,
        "The usage interface did not answer a report in time; the "
        "same bytes are sent again. Nothing to do unless it repeats."};
inline const event_kind windowDiffers{
        4104, "usage_window_differs", severity::Error,
        "The usage interface already holds different figures for this "
        "window and keeps them; compare both and resolve the "
        "difference with the operator of the platform."};
inline const event_kind windowWaits{4105, "usage_window_waits", severity::Warning,
                                    "A usage window cannot be frozen because some entries have not "
                                    "reported past its end; restart them, or retire those that "
                                    "no longer exist."};

inline const event_kind entryRetired{
        4106, "entry_retired", severity::Info,
        "An entry was retired for good: usage windows no longer wait for "
        "it, and its open claims have an unknown outcome."};

} // namespace yuccascale::kernel::usage
