#pragma once

#include "yuccascale/http/endpoint_monitor.hpp"
#include "yuccascale/kernel/requests/endpoint_driver.hpp"
#include "yuccascale/kernel/requests/relay_choice.hpp"
#include "yuccascale/kernel/requests/request_actions.hpp"

#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief Passes requests of an entry that reaches no endpoint to entries that do.

namespace yuccascale::http {

/// \brief Who serves a request: this entry, another one, or nobody.
using serving_decision
        = std::variant<std::monostate, kernel::requests::helper_entry, kernel::requests::refusal>;

/// \brief Decides which requests are passed on, and to whom. Thread-safe.
class entry_relay
{
public:
    /// \param driver speaks to other entries; null when the protocol cannot
    entry_relay(const kernel::clock &clock, std::shared_ptr<endpoint_monitor> monitor,
                std::unique_ptr<kernel::requests::endpoint_driver> driver);

    void setHelpers(std::vector<kernel::requests::helper_entry> helpers);

    /// \brief Decides for one attempt. A helper that it returns is released by ended().
    [[nodiscard]] serving_decision decide(const kernel::requests::request &callerRequest,
                                          const kernel::requests::enqueue &options);

    /// \brief Records that a helper could not be reached, or reaches no endpoint itself.
    void unavailable(const std::string &node);

    /// \brief Records the end of an attempt at a helper.
    void ended();

    [[nodiscard]] const kernel::requests::endpoint_driver &driver() const { return *m_driver; }

private:
    [[nodiscard]] bool servesItself(const kernel::requests::request &callerRequest,
                                    const kernel::requests::enqueue &options) const;
    [[nodiscard]] std::optional<kernel::requests::helper_entry>
    chooseHelper(const kernel::requests::request &callerRequest);

    const kernel::clock &m_clock;
    const std::shared_ptr<endpoint_monitor> m_monitor;
    const std::unique_ptr<kernel::requests::endpoint_driver> m_driver;
    std::mutex m_mutex;
    kernel::requests::relay_choice m_choice;
    std::size_t m_running = 0;
};

} // namespace yuccascale::http
