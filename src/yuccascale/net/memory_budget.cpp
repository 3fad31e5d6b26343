#include "yuccascale/net/memory_budget.hpp"

#include "yuccascale/kernel/requests/memory_shedding.hpp"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace yuccascale::net {

namespace {

/// A connection that holds no more than this always may: refusals and small requests.
constexpr std::size_t alwaysHeld = 4U << 10U;
/// Part of the limit that may wait to be freed by connections that are being shed, on loops that
/// are late; then unfinished bodies that grow are shed themselves while the limit is exceeded.
/// Answers are not: their requests have run.
constexpr std::size_t sheddingDivisor = 4;

} // namespace

memory_budget::memory_budget(std::size_t limit)
    : m_limit(limit)
{ }

std::shared_ptr<memory_budget> memory_budget::unlimited()
{
    return std::make_shared<memory_budget>(std::numeric_limits<std::size_t>::max());
}

memory_shortage memory_budget::state() const noexcept
{
    return {m_held, m_limit, m_refused, m_closed};
}

std::uint64_t memory_budget::add(memory_account &account)
{
    const std::scoped_lock guard(m_mutex);
    m_accounts.emplace(m_nextId, &account);
    return m_nextId++;
}

void memory_budget::remove(std::uint64_t id)
{
    const std::scoped_lock guard(m_mutex);
    m_accounts.erase(id);
}

bool memory_budget::makeRoom(memory_account &account, kernel::instant now)
{
    if (m_held <= m_limit)
        return true;
    bool stays = false;
    {
        const std::scoped_lock guard(m_mutex);
        stays = chooseAndShed(account, now);
    }
    tellListener(now);
    return stays;
}

/// Requires m_mutex to be held.
bool memory_budget::chooseAndShed(memory_account &account, kernel::instant now)
{
    using kernel::requests::memory_holder;
    const std::size_t held = m_held;
    kernel::requests::memory_totals totals{m_limit, held - std::min<std::size_t>(held, m_shedding),
                                           greatestThatStays()};
    std::vector<memory_holder> holders;
    for (const auto &[id, one] : m_accounts) {
        if (one->beingShed())
            continue;
        const std::size_t bytes = one->m_bytes;
        if (bytes > alwaysHeld)
            holders.push_back({id, bytes, one->m_since, one->m_progressedAt});
    }
    for (const std::uint64_t id : holdersToShed(totals, std::move(holders), now)) {
        memory_account &chosen = *m_accounts.at(id);
        const std::size_t bytes = chosen.m_bytes;
        if (bytes == 0)
            continue; // freed meanwhile
        m_shedding += bytes;
        chosen.m_shedBytes = bytes;
        totals.held -= std::min(totals.held, bytes);
        chosen.m_shed(); // also for the caller's own account, since not every caller sheds it
    }
    totals.greatest = greatestThatStays();
    return !account.beingShed() && kernel::requests::memorySuffices(totals);
}

/// Requires m_mutex to be held.
std::size_t memory_budget::greatestThatStays() const
{
    std::size_t greatest = 0;
    for (const auto &[id, one] : m_accounts) {
        const std::size_t bytes = one->beingShed() ? 0 : one->m_bytes.load();
        greatest = std::max<std::size_t>(greatest, bytes + one->m_running);
    }
    return greatest;
}

void memory_budget::tellListener(kernel::instant now)
{
    {
        const std::scoped_lock guard(m_mutex);
        const bool told = m_toldAt != kernel::instant{} && now - m_toldAt < shortageInterval;
        if (!m_listener || told)
            return;
        m_toldAt = now;
    }
    m_listener(state());
}

memory_account::memory_account(std::shared_ptr<memory_budget> budget, std::function<void()> shed)
    : m_budget(std::move(budget))
    , m_shed(std::move(shed))
    , m_id(m_budget->add(*this))
{ }

memory_account::~memory_account()
{
    m_budget->remove(m_id);
    endShedding();
    m_budget->m_held -= m_bytes + m_running;
}

bool memory_account::hold(std::size_t bytes, kernel::instant now, held_for purpose)
{
    const std::size_t before = m_bytes.exchange(bytes);
    if (before == 0) {
        m_since = now;
        m_progressedAt = now;
    }
    m_budget->m_held += bytes - before; // wraps around when it shrinks
    if (bytes == 0 && before > 0)
        endShedding();
    if (bytes <= std::max(before, alwaysHeld))
        return true;
    if (!m_budget->makeRoom(*this, now))
        return false;
    return purpose == held_for::Answer || m_budget->m_held <= m_budget->m_limit
            || m_budget->m_shedding <= m_budget->m_limit / sheddingDivisor;
}

void memory_account::progressed(kernel::instant now) noexcept
{
    m_progressedAt = now;
}

bool memory_account::run(std::size_t bytes, kernel::instant now)
{
    m_running += bytes;
    m_budget->m_held += bytes;
    if (m_budget->makeRoom(*this, now))
        return true;
    ended(bytes);
    return false;
}

void memory_account::ended(std::size_t bytes) noexcept
{
    m_running -= bytes;
    m_budget->m_held -= bytes;
}

/// Waits for a choice in progress, which may mark this account after its bytes were freed.
void memory_account::endShedding()
{
    const std::scoped_lock guard(m_budget->m_mutex);
    m_budget->m_shedding -= m_shedBytes.exchange(0);
}

} // namespace yuccascale::net
