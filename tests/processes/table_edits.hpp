#pragma once

#include "processes/cluster.hpp"

#include <atomic>
#include <cstdint>
#include <set>
#include <string>
#include <thread>

/// \file
/// \brief An operator who keeps adding rows to the tables.

namespace yuccascale::processes {

/// \brief Adds organisations and routes in turn, on its own thread, until stop().
class table_edits
{
public:
    explicit table_edits(const cluster &system);
    ~table_edits();
    table_edits(const table_edits &) = delete;
    table_edits &operator=(const table_edits &) = delete;

    /// \brief Waits for the edit in progress.
    void stop();

    /// \returns the names of the rows whose edits were acknowledged, by table; after stop().
    [[nodiscard]] const std::map<std::string, std::set<std::string>> &acknowledged() const noexcept
    {
        return m_acknowledged;
    }

    /// \returns the highest acknowledged revision; after stop().
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

private:
    void run();
    void edit(const std::string &table, const std::string &name);

    const cluster &m_system;
    std::atomic<bool> m_stopped{false};
    std::map<std::string, std::set<std::string>> m_acknowledged;
    std::uint64_t m_revision = 0;
    std::thread m_thread;
};

} // namespace yuccascale::processes
