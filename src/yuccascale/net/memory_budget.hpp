#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

/// \file
/// \brief The memory that all connections of callers may hold together.

namespace yuccascale::net {

class memory_account;

/// \brief A shortage of memory, for the log.
struct memory_shortage
{
    std::size_t held = 0;
    std::size_t limit = 0;
    std::uint64_t refused = 0; ///< requests that were not read to their end, in all
    std::uint64_t closed = 0;  ///< connections whose answers were given up, in all
};

/// \brief Counts what connections hold, and has some of them shed when it exceeds the limit.
/// Thread-safe.
class memory_budget
{
public:
    using listener = std::function<void(const memory_shortage &)>;

    /// \param limit in bytes
    explicit memory_budget(std::size_t limit);
    memory_budget(const memory_budget &) = delete;
    memory_budget &operator=(const memory_budget &) = delete;

    /// \returns a budget that is never exhausted.
    [[nodiscard]] static std::shared_ptr<memory_budget> unlimited();

    /// \brief Sets who is told of shortages, at most once in shortageInterval. Set it before the
    ///        budget is used.
    void setListener(listener told) { m_listener = std::move(told); }

    [[nodiscard]] std::size_t limit() const noexcept { return m_limit; }
    [[nodiscard]] std::size_t held() const noexcept { return m_held; }

    /// \returns the requests refused and the connections closed so far.
    [[nodiscard]] memory_shortage state() const noexcept;

    /// \brief Counts a request that was refused, or a connection that was closed, for the memory.
    void countRefused() noexcept { ++m_refused; }
    void countClosed() noexcept { ++m_closed; }

private:
    friend class memory_account;

    static constexpr kernel::seconds shortageInterval{5};

    [[nodiscard]] std::uint64_t add(memory_account &account);
    void remove(std::uint64_t id);
    /// \returns whether the bytes of \a account may stay.
    [[nodiscard]] bool makeRoom(memory_account &account, kernel::instant now);
    [[nodiscard]] bool chooseAndShed(memory_account &account, kernel::instant now);
    [[nodiscard]] std::size_t greatestThatStays() const;
    void tellListener(kernel::instant now);

    const std::size_t m_limit;
    listener m_listener;
    std::atomic<std::size_t> m_held{0};
    std::atomic<std::size_t> m_shedding{0}; ///< of m_held, by accounts that are being shed
    std::atomic<std::uint64_t> m_refused{0};
    std::atomic<std::uint64_t> m_closed{0};
    std::mutex m_mutex; ///< guards the next three
    std::map<std::uint64_t, memory_account *> m_accounts;
    std::uint64_t m_nextId = 1;
    kernel::instant m_toldAt{};
};

/// \brief What a connection holds bytes for.
enum class held_for {
    Body,   ///< of a request that has not arrived whole
    Answer, ///< of a request that has run
};

/// \brief What one connection holds. Its calls are made on the connection's loop, except ended().
///
/// \example
///     if (!account.hold(buffer.capacity(), now))
///         refuse();
class memory_account
{
public:
    /// \param shed called on any thread, with the budget locked, when the connection is chosen;
    ///        posts to the connection's loop what frees its memory
    memory_account(std::shared_ptr<memory_budget> budget, std::function<void()> shed);
    ~memory_account();
    memory_account(const memory_account &) = delete;
    memory_account &operator=(const memory_account &) = delete;

    /// \brief Sets the bytes that can be freed by shedding the connection.
    /// \returns false when the connection itself has to be shed now.
    [[nodiscard]] bool hold(std::size_t bytes, kernel::instant now,
                            held_for purpose = held_for::Body);

    /// \brief Notes that bytes were received or sent.
    void progressed(kernel::instant now) noexcept;

    /// \brief Adds bytes of a request that begins to run; they are freed by its end only.
    /// \returns false when they do not fit; then they are not added.
    [[nodiscard]] bool run(std::size_t bytes, kernel::instant now);

    /// \brief Ends what run() began. Thread-safe.
    void ended(std::size_t bytes) noexcept;

    /// \returns whether the connection was chosen and still holds what it was chosen for.
    [[nodiscard]] bool beingShed() const noexcept { return m_shedBytes > 0; }

    [[nodiscard]] memory_budget &budget() const noexcept { return *m_budget; }

private:
    friend class memory_budget;

    void endShedding();

    std::shared_ptr<memory_budget> m_budget;
    std::function<void()> m_shed;
    std::atomic<std::size_t> m_bytes{0};
    std::atomic<std::size_t> m_running{0};
    std::atomic<std::size_t> m_shedBytes{0};
    std::atomic<kernel::instant> m_since{};
    std::atomic<kernel::instant> m_progressedAt{};
    std::uint64_t m_id;
};

} // namespace yuccascale::net
