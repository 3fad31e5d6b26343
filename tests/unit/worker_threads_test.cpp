#include "yuccascale/runtime/periodic_task.hpp"
#include "yuccascale/runtime/worker_pool.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <memory>
#include <vector>

namespace yuccascale::runtime {

namespace {

constexpr std::chrono::seconds enoughTime{5};
constexpr std::size_t threads = 4;

bool ready(const std::future<void> &future)
{
    return future.wait_for(enoughTime) == std::future_status::ready;
}

} // namespace

/// Guards against one pool's calls that wait holding up another pool.
TEST(worker_threads, keepOneThreadForAPoolThatRunsNothing)
{
    const auto shared = std::make_shared<worker_threads>(threads);
    worker_pool polls(9, shared);
    worker_pool commits(16, shared);
    std::promise<void> first;
    commits.run([&] { first.set_value(); });
    ASSERT_TRUE(ready(first.get_future()));
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    for (int count = 0; count < 20; ++count)
        polls.run([released] { released.wait(); });
    for (int round = 0; round < 10; ++round) {
        std::promise<void> ran;
        commits.run([&] { ran.set_value(); });
        EXPECT_TRUE(ready(ran.get_future())) << round;
    }
    release.set_value();
}

/// Guards against pools that leave threads unused while their tasks wait.
TEST(worker_threads, runAsManyTasksOfAPoolAtOnceAsThereAreThreads)
{
    const auto shared = std::make_shared<worker_threads>(threads);
    worker_pool pool(9, shared);
    std::atomic<std::size_t> running{0};
    std::promise<void> all;
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    for (std::size_t count = 0; count < 2 * threads; ++count) {
        pool.run([&, released] {
            if (++running == threads)
                all.set_value();
            released.wait();
        });
    }
    EXPECT_TRUE(ready(all.get_future()));
    EXPECT_EQ(running, threads);
    release.set_value();
}

/// Guards against a maximum that shared threads make meaningless.
TEST(worker_threads, aPoolKeepsItsOwnMaximum)
{
    const auto shared = std::make_shared<worker_threads>(threads);
    std::atomic<int> running{0};
    std::atomic<int> most{0};
    worker_pool pool(1, shared);
    for (int count = 0; count < 50; ++count) {
        pool.run([&] {
            most = std::max(most.load(), ++running);
            std::this_thread::yield();
            --running;
        });
    }
    pool.shutdown();
    EXPECT_EQ(most, 1);
}

/// Guards against tasks that are lost when a pool ends, and tasks that run after it has.
TEST(worker_threads, aPoolThatEndsRunsWhatWasQueuedAndNothingLater)
{
    const auto shared = std::make_shared<worker_threads>(threads);
    std::atomic<int> ran{0};
    worker_pool pool(2, shared);
    for (int count = 0; count < 100; ++count)
        pool.run([&] { ++ran; });
    pool.shutdown();
    EXPECT_EQ(ran, 100);
    pool.run([&] { ++ran; });
    EXPECT_EQ(ran, 100);
    EXPECT_EQ(pool.load(), 0U);
}

TEST(periodic_task, severalShareOneThreadAndRunUntilTheyAreStopped)
{
    const auto shared = std::make_shared<periodic_thread>();
    std::atomic<int> quick{0};
    std::atomic<int> slow{0};
    std::promise<void> slowRan;
    periodic_task often(
            std::chrono::milliseconds(1), [&] { ++quick; }, shared);
    periodic_task seldom(
            std::chrono::hours(1),
            [&] {
                if (++slow == 1)
                    slowRan.set_value();
            },
            shared);
    often.start();
    seldom.start();
    seldom.runSoon();
    EXPECT_TRUE(ready(slowRan.get_future()));
    const auto end = std::chrono::steady_clock::now() + enoughTime;
    while (quick < 10 && std::chrono::steady_clock::now() < end)
        std::this_thread::yield();
    EXPECT_GE(quick, 10);
    often.stop();
    const int stoppedAt = quick;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    EXPECT_EQ(quick, stoppedAt);
    EXPECT_EQ(slow, 1);
}

} // namespace yuccascale::runtime
