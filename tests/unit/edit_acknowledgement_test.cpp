#include "fakes/manual_clock.hpp"
#include "fakes/null_event_sink.hpp"
#include "yuccascale/runtime/cluster_client.hpp"
#include "yuccascale/wire/feed_codec.hpp"

#include <gtest/gtest.h>

#include <future>
#include <map>

/// \file
/// \brief When a leader answers an edit, while entries use older tables.

namespace yuccascale::runtime {

namespace {

using namespace kernel;

constexpr milliseconds freshness{4'700};
constexpr milliseconds propagation{2'000};
constexpr milliseconds step{100};
/// Within it an answer that is due arrives, in real time.
constexpr milliseconds grace{20};

/// Keeps the handlers of a node; its own calls reach nobody.
class handlers_only final : public transport
{
public:
    void handle(channel channel, handler handler) override
    {
        handlers[channel] = std::move(handler);
    }
    void post(std::string_view, channel, std::string) override { }
    [[nodiscard]] result<std::string> call(std::string_view node, channel, std::string,
                                           call_timeout) override
    {
        return fail(error_kind::Unavailable, std::string(node), "not reached");
    }

    std::map<channel, handler> handlers;
};

/// A leader whose edits are committed at once; each edit makes a new revision.
class committing_leader final : public leader_state_reader, public command_proposer
{
public:
    [[nodiscard]] std::string leader() const override { return "a"; }
    [[nodiscard]] result<feed::confirmed_state> confirmedReading(instant) override
    {
        auto tables = std::make_shared<state::table_set>();
        tables->revision = revision;
        return feed::confirmed_state{tables, 0, {}};
    }
    [[nodiscard]] std::optional<instant> leadingSince(instant) const override { return since; }
    [[nodiscard]] submit_reply propose(const state::command &, instant) override
    {
        submit_reply reply;
        reply.answered = reply.answer.accepted = true;
        reply.answer.revision = ++revision;
        return reply;
    }

    std::atomic<std::uint64_t> revision{1};
    std::optional<instant> since = instant{};
};

class edit_acknowledgement : public testing::Test
{
protected:
    edit_acknowledgement()
    {
        m_clock.advance(seconds(100));
        m_settings.node = m_settings.linkAddress = "a";
        m_settings.roles = {false, true};
        m_settings.control.freshness = freshness;
        m_settings.control.feedInterval = milliseconds(600);
        m_settings.promises.tablePropagation = propagation;
        m_feed = std::make_unique<feed_service>(m_settings, m_clock, m_transport, m_events, 1,
                                                &m_log);
        m_client = std::make_unique<cluster_client>(m_settings, m_clock, m_transport, *m_feed,
                                                    &m_log);
        m_feed->pollRound();
    }

    /// The entry asks the leader; the request takes no time.
    void poll(feed::feed_state &entry, const std::string &name)
    {
        feed::node_report self;
        self.node = self.link = name;
        self.revision = entry.revision();
        const feed::feed_request request = entry.request(m_clock.now(), self, true);
        const std::string reply
                = m_transport.handlers.at(channel::Feed)(name, wire::encodeFeedRequest(request));
        static_cast<void>(entry.install(m_clock.now(), wire::decodeFeedReply(reply).value()));
    }

    void beginEdit()
    {
        m_edit = std::async(std::launch::async, [this] {
            error problem;
            const state::command edit{"edit-1", state::edit_tables{}};
            EXPECT_TRUE(succeeded(
                    [&] { return m_client->submit(edit, m_clock.now() + seconds(60)); }, problem));
            m_answeredAt = m_clock.now();
        });
        while (m_log.revision == 1)
            std::this_thread::yield();
        m_feed->pollRound();
    }

    /// Lets time pass until the edit is answered.
    [[nodiscard]] instant answeredAt()
    {
        while (m_edit.wait_for(grace) != std::future_status::ready) {
            m_clock.advance(step);
            m_feed->pollRound();
        }
        return m_answeredAt;
    }

    settings m_settings;
    fakes::manual_clock m_clock;
    fakes::null_event_sink m_events;
    handlers_only m_transport;
    committing_leader m_log;
    std::unique_ptr<feed_service> m_feed;
    std::unique_ptr<cluster_client> m_client;
    feed::feed_state m_entry{freshness, propagation};
    instant m_answeredAt{};
    std::future<void> m_edit;
};

} // namespace

/// Guards against requests that run by a dropped route, or at its former service, later than
/// promised.
TEST_F(edit_acknowledgement, anEntryThatIsCutOffUsesNoOlderTablesLaterThanPromised)
{
    poll(m_entry, "entry");
    m_clock.advance(milliseconds(100));
    const instant committedAt = m_clock.now();
    beginEdit();
    const instant answered = answeredAt();
    EXPECT_LE(m_entry.view().freshUntil, answered + propagation);
    EXPECT_LE(answered, committedAt + freshness - propagation);
}

TEST_F(edit_acknowledgement, isGivenAtOnceWhenAllEntriesHaveTheEdit)
{
    poll(m_entry, "entry");
    beginEdit();
    EXPECT_NE(m_edit.wait_for(grace), std::future_status::ready)
            << "the entry may use older tables";
    poll(m_entry, "entry");
    EXPECT_NE(m_edit.wait_for(grace), std::future_status::ready) << "the answer may be lost";
    poll(m_entry, "entry");
    EXPECT_EQ(answeredAt(), m_clock.now());
}

} // namespace yuccascale::runtime
