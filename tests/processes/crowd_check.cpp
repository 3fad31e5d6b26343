#include "processes/crowd_check.hpp"

#include "processes/process_memory.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <thread>
#include <utility>

namespace yuccascale::processes {

namespace {

constexpr std::size_t bytesOfMemory = crowdMemoryMegabytes << 20U;
/// Of the budget, above the idle process: a process of three times its budget has as much again
/// for copies that are made while a request is handled.
constexpr std::size_t memoryFactor = 2;
/// Further descriptors: refusals that linger, connections to endpoints and the process's own.
constexpr std::size_t furtherDescriptors = 100;
constexpr milliseconds crowdLimit{20'000};
constexpr milliseconds holdTime{2'000};
constexpr int ordinaryTries = 60;
constexpr milliseconds ordinaryPause{500};

} // namespace

crowd_check::crowd_check(const crowd_target &target, const target_options &asked)
    : m_target(target)
    , m_connections(asked.connections)
    , m_process(target.process().id())
    , m_idleMemory(peakMemoryOf(m_process))
    , m_idleDescriptors(descriptorsOf(m_process))
{ }

void crowd_check::run(crowd_plan plan)
{
    plan.address = m_target.address();
    caller_crowd crowd(std::move(plan));
    const auto observe
            = [this] { m_descriptors = std::max(m_descriptors, descriptorsOf(m_process)); };
    crowd.run(crowdLimit, observe);
    crowd.hold(holdTime, observe);
    const bool served = ordinaryIsServed();
    const std::size_t memory = peakMemoryOf(m_process);
    std::cout << crowd.summary() << "; memory " << (memory >> 20U) << " MB (idle "
              << (m_idleMemory >> 20U) << "), descriptors " << m_descriptors << " (idle "
              << m_idleDescriptors << ")\n";
    EXPECT_TRUE(isAlive()) << "the process has ended";
    EXPECT_LE(memory, m_idleMemory + memoryFactor * bytesOfMemory);
    EXPECT_LE(m_descriptors, m_idleDescriptors + m_connections + furtherDescriptors);
    EXPECT_TRUE(served) << "no ordinary request is answered afterwards";
}

bool crowd_check::isAlive() const
{
    return m_process > 0 && !m_target.process().waitForExit(milliseconds(1))
            && m_target.process().id() == m_process;
}

/// Tries again as a caller does that is refused or gets no answer.
bool crowd_check::ordinaryIsServed()
{
    for (int tries = 0; tries < ordinaryTries; ++tries) {
        const int status = fakes::callHttp(m_target.ordinary(++m_ordinaryRequests)).status;
        if (status == 200 || status == 307) // 307: the leader has the document
            return true;
        std::this_thread::sleep_for(ordinaryPause);
    }
    return false;
}

} // namespace yuccascale::processes
