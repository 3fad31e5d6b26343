#pragma once

#include "yuccascale/kernel/requests/endpoint_driver.hpp"

#include <string_view>

/// \file
/// \brief Parses the load report, which engines and services send in the same form.

namespace yuccascale::plugins {

/// \brief Parses the body of an answer to `GET /load`.
/// \param receivedAt when the answer was received
[[nodiscard]] kernel::result<kernel::requests::endpoint_report>
readLoadReport(kernel::instant receivedAt, std::string_view body);

/// \returns true when \a status is 503 and the body says that the request was not run.
[[nodiscard]] bool reportsNotRun(int status, std::string_view body);

} // namespace yuccascale::plugins
