#pragma once

#include "yuccascale/kernel/requests/endpoint_driver.hpp"

#include <string_view>

/// \file
/// \brief The load report that engines and services share.

namespace yuccascale::plugins {

/// \brief Reads the body of `GET /load`.
/// \param received when the answer came
[[nodiscard]] kernel::result<kernel::requests::endpoint_report>
readLoadReport(kernel::instant receivedAt, std::string_view body);

/// \returns true when a 503 answer's body says that the request was not run.
[[nodiscard]] bool reportsNotRun(int status, std::string_view body);

} // namespace yuccascale::plugins
