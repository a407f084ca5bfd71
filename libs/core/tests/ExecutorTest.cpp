#include <core/MonotonicClock.h>
#include <core/RankedLock.h>
#include <core/VirtualScheduler.h>
#include <core/WorkerPool.h>

#include <catch2/catch.hpp>

#include <ctime>

#include <future>
#include <string>

namespace auburnrail {

using namespace std::chrono_literals;

// Guards against a front end that reorders work: deferred tasks must run in due order everywhere.
TEST_CASE("virtual scheduler runs tasks in due order and moves its clock")
{
    auto scheduler = VirtualScheduler();
    const auto executor = scheduler.executor();
    auto trace = std::string();
    executor.postAfter(20ms, [&] { trace += "c"; });
    executor.postAfter(10ms, [&] {
        trace += "a";
        executor.postAfter(5ms, [&] { trace += "b"; });
    });
    const auto dropped = executor.postAfter(1ms, [&] { trace += "x"; });
    executor.cancel(dropped);

    scheduler.runFor(15ms);
    CHECK(trace == "ab");
    scheduler.runFor(15ms);
    CHECK(trace == "abc");
    CHECK(scheduler.now() == TimePoint(30ms));
}

TEST_CASE("worker pool runs posted and delayed tasks")
{
    auto pool = WorkerPool(2);
    const auto executor = pool.executor();
    auto posted = std::promise<void>();
    auto delayed = std::promise<void>();
    executor.postAfter(1ms, [&] { delayed.set_value(); });
    executor.post([&] { posted.set_value(); });
    posted.get_future().get();
    delayed.get_future().get();
}

TEST_CASE("worker pool drops tasks that have not started when it stops")
{
    auto ran = false;
    {
        auto pool = WorkerPool(1);
        pool.executor().postAfter(1h, [&] { ran = true; });
    }
    CHECK_FALSE(ran);
}

TEST_CASE("mutexes are taken in rank order")
{
    auto outer = RankedMutex(LockRank::FleetState);
    auto inner = RankedMutex(LockRank::Metrics);
    const RankedLock outerLock(outer);
    const RankedLock innerLock(inner);
    SUCCEED();
}

// Guards against a lease that is held over a suspension, which the steady clock does not count.
TEST_CASE("the clock of leases is the one that counts suspensions")
{
    auto time = timespec();
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto boot =
        TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    const auto first = monotonicNow();
    CHECK(first >= boot);
    CHECK(first - boot < std::chrono::seconds(1));
    auto pool = WorkerPool(1);
    CHECK(pool.executor().now() >= first);
}

} // namespace auburnrail
