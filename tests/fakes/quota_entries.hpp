#pragma once

#include "yuccascale/kernel/requests/quota_book.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Entries that keep a quota together, with messages that are late or lost and no network.

namespace yuccascale::fakes {

/// \brief What callers ask for and how messages pass.
struct quota_world_settings
{
    int entries = 84;
    kernel::state::token_quota quota{545'473, 545'473, true, 200};
    kernel::requests::quota_tolerance tolerance{kernel::seconds(8), 0.1, 190'000};
    double lostShare = 0.03;
    double lateShare = 0.1; ///< of messages; they take up to lateTime, the others 5 to 50 ms
    kernel::milliseconds lateTime{800};
    unsigned seed = 1;
};

/// \brief What an organisation's requests at one time came to.
struct quota_sample
{
    kernel::instant at{};
    double asked = 0;
    double admitted = 0;
    int refusedRequests = 0;
};

/// \brief Entries, each with its own quota_book, in simulated time.
class quota_entries
{
public:
    /// Tokens a second that an organisation's callers ask an entry for.
    using demand = std::function<double(int entry, kernel::nanoseconds since)>;

    explicit quota_entries(quota_world_settings settings);

    /// \brief Plays the demand for some time in steps of 5 ms. Requests are long ones with 17,029
    /// tokens, short ones with 386 and plain ones with 200, two thirds of the tokens in long ones.
    void play(kernel::nanoseconds time, const demand &asked);

    /// \brief Ends an entry; it has no demand until it is restarted.
    void end(int entry);
    /// \brief Starts it anew, with nothing remembered.
    void restart(int entry);

    /// \brief Messages pass only between entries of the same group.
    void setGroups(const std::function<int(int entry)> &groupOf);

    /// \brief Entries of the feed, as all entries see it.
    void setListed(int entries);

    /// \brief Puts another quota into force at one entry.
    void setQuota(int entry, const kernel::state::token_quota &quota);

    [[nodiscard]] kernel::instant now() const noexcept { return m_now; }

    /// \returns the greatest sum admitted in any window since \a from.
    [[nodiscard]] double greatestWindow(kernel::instant from = {}) const;
    [[nodiscard]] double admitted(kernel::instant from = {}) const;
    [[nodiscard]] double asked(kernel::instant from = {}) const;
    [[nodiscard]] int refusedRequests(kernel::instant from = {}) const;
    [[nodiscard]] int messages() const noexcept { return m_messages; }
    [[nodiscard]] int entries() const noexcept { return m_settings.entries; }

    /// \returns what the quota and its tolerance allow in a window.
    [[nodiscard]] double bound() const;
    [[nodiscard]] double bound(const kernel::state::token_quota &quota) const;

private:
    struct message
    {
        kernel::instant arrives;
        int from;
        int to;
        std::vector<kernel::requests::quota_report> reports;
    };

    struct entry
    {
        std::unique_ptr<kernel::requests::quota_book> book; ///< null while it is down
        kernel::instant nextMessage{};
        int group = 0;
    };

    void startBook(int index);
    void askAt(int index, double tokensPerSecond);
    void ask(int index, double tokens);
    void sendDue(int index);
    void send(int index);
    void deliverDue();
    [[nodiscard]] double draw() { return m_unit(m_random); }

    quota_world_settings m_settings;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_unit{0, 1};
    kernel::instant m_now{kernel::seconds(100)};
    std::vector<entry> m_entries;
    std::vector<message> m_inTransit;
    std::vector<quota_sample> m_samples;
    int m_listed;
    int m_messages = 0;
    std::uint64_t m_lastRun = 0;
};

} // namespace yuccascale::fakes
