#include "yuccascale/runtime/cluster_client.hpp"
#include "yuccascale/runtime/system_clock.hpp"

#include <gtest/gtest.h>

#include <map>

namespace yuccascale::runtime {

using namespace kernel;

namespace {

/// Replies to each call with the scripted answer of the node; nodes without one are unreachable.
class scripted_transport final : public transport
{
public:
    std::map<std::string, std::function<result<std::string>()>, std::less<>> answers;
    std::vector<std::string> calledNodes;

    void handle(channel, handler) override { }
    void post(std::string_view, channel, std::string) override { }
    [[nodiscard]] result<std::string> call(std::string_view node, channel, std::string,
                                           call_timeout) override
    {
        calledNodes.emplace_back(node);
        const auto found = answers.find(node);
        if (found == answers.end())
            return fail(error_kind::Unavailable, std::string(node), "not reached");
        return found->second();
    }
};

class null_sink final : public event_sink
{
public:
    using event_sink::record;
    void record(const event_kind &, std::span<const event_field>) override { }
};

submit_reply acceptedReply()
{
    submit_reply reply;
    reply.answered = true;
    reply.answer.accepted = true;
    return reply;
}

/// An entry with three control nodes as seeds.
class cluster_client_test : public testing::Test
{
protected:
    cluster_client_test()
    {
        m_settings.node = "entry";
        m_settings.zone = "perth-a";
        m_settings.roles = {true, false};
        m_settings.linkAddress = "entry";
        m_settings.seeds = {"c1", "c2", "c3"};
    }

    error submitFailure(const std::string &operationId)
    {
        error problem;
        EXPECT_FALSE(succeeded([&] { return submit(operationId); }, problem));
        return problem;
    }

    result<state::command_result> submit(const std::string &operationId)
    {
        feed_service feed(m_settings, m_clock, m_transport, m_sink, 1, nullptr);
        cluster_client client(m_settings, m_clock, m_transport, feed, nullptr);
        return client.submit({operationId, state::edit_tables{}},
                             m_clock.now() + milliseconds(300));
    }

    settings m_settings;
    system_clock m_clock;
    scripted_transport m_transport;
    null_sink m_sink;
};

} // namespace

TEST_F(cluster_client_test, followsARedirectToTheLeader)
{
    submit_reply redirect;
    redirect.kind = error_kind::NotLeader;
    redirect.leader = "c3";
    m_transport.answers["c1"] = [&] { return result<std::string>(toCbor(redirect)); };
    m_transport.answers["c3"] = [] { return result<std::string>(toCbor(acceptedReply())); };
    error problem;
    EXPECT_TRUE(succeeded([&] { return submit("op-1"); }, problem)) << problem.message;
    EXPECT_EQ(m_transport.calledNodes, (std::vector<std::string>{"c1", "c3"}));
}

TEST_F(cluster_client_test, returnsUnavailableOnlyWhenNoAttemptCanHaveReachedALeader)
{
    EXPECT_EQ(submitFailure("op-1").kind, error_kind::Unavailable);
    m_transport.answers["c2"] = []() -> result<std::string> {
        return fail(error_kind::OutcomeUnknown, "c2", "no reply");
    };
    EXPECT_EQ(submitFailure("op-2").kind, error_kind::OutcomeUnknown);
}

TEST_F(cluster_client_test, rejectsACommandWithoutAnOperationId)
{
    EXPECT_EQ(submitFailure("").kind, error_kind::InvalidArgument);
    EXPECT_TRUE(m_transport.calledNodes.empty());
}

} // namespace yuccascale::runtime
