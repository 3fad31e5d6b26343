#pragma once

#include "fakes/former_node.hpp"
#include "fakes/free_port.hpp"
#include "yuccascale/wire/tcp_transport.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <fstream>
#include <functional>
#include <string>
#include <thread>

/// \file
/// \brief What the tests of links share.

namespace yuccascale::wire {

using std::chrono::milliseconds;

inline constexpr milliseconds enoughTime{5'000};
inline constexpr std::string_view linkSecret = "a cluster secret of the test";

/// \returns the threads of this process.
[[nodiscard]] inline int threadsOfProcess()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    int threads = 0;
    while (status >> word) {
        if (word == "Threads:")
            status >> threads;
    }
    return threads;
}

/// \brief One node under test and what speaks with it.
class links_test : public testing::Test
{
protected:
    links_test()
    {
        m_settings.self = "node";
        m_settings.listen = {"127.0.0.1", fakes::freePort()};
        m_settings.secret = linkSecret;
    }

    [[nodiscard]] int port() const { return m_settings.listen.port; }

    static void start(tcp_transport &transport)
    {
        kernel::error problem;
        EXPECT_TRUE(kernel::succeeded([&] { return transport.start(); }, problem))
                << problem.message;
    }

    [[nodiscard]] fakes::former_node connect(const std::string &name = "former") const
    {
        return fakes::former_node::connect(port(), name, "node", linkSecret);
    }

    /// \returns the answer; "failed: KIND" when there is none.
    static std::string call(tcp_transport &from, const std::string &peer, const std::string &text,
                            kernel::call_timeout timeout = enoughTime)
    {
        std::string answer;
        kernel::error problem;
        const bool answered = kernel::succeeded(
                [&]() -> kernel::result<void> {
                    BOOST_LEAF_ASSIGN(answer,
                                      from.call(peer, kernel::channel::Submit, text, timeout));
                    return {};
                },
                problem);
        if (answered)
            return answer;
        if (problem.kind == kernel::error_kind::Unavailable)
            return "failed: unavailable";
        return problem.kind == kernel::error_kind::OutcomeUnknown ? "failed: unknown"
                                                                  : "failed: other";
    }

    [[nodiscard]] static bool waitFor(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + enoughTime;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            std::this_thread::sleep_for(milliseconds(1));
        }
        return true;
    }

    transport_settings m_settings;
};

} // namespace yuccascale::wire
