#include <control/HeldResponses.h>

#include <core/VirtualScheduler.h>

#include <catch2/catch.hpp>

#include <string>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto HOLDERS = 20;
constexpr auto REVISION = Revision(5);

/// Holds one response of each holder for a minute.
class Held
{
public:
    Held()
        : responses(scheduler.executor())
    {
        for (auto index = 0; index < HOLDERS; ++index)
            this->hold(index, scheduler.now() + 60s);
    }

    auto hold(int index, TimePoint deadline) -> void
    {
        this->responses.hold(holder(index), REVISION, deadline, [this] { ++this->released; });
    }

    [[nodiscard]] static auto holder(int index) -> HolderId
    {
        return HolderId{"entry-" + std::to_string(index), 1};
    }

    /// Runs what was released.
    auto run() -> void
    {
        this->scheduler.runFor(0ms);
    }

    VirtualScheduler scheduler;
    HeldResponses responses;
    int released = 0;
};

} // namespace

// Guards against a leader whose processor time goes into waking up threads: a change for one entry
// woke the thread of every entry.
TEST_CASE("a change for one holder releases its response only")
{
    auto held = Held();
    for (auto i = 0; i < 100; ++i)
        held.responses.sharesChanged(Held::holder(3));
    held.run();
    CHECK(held.released == 1);
    CHECK(held.responses.size() == HOLDERS - 1);
    CHECK(held.responses.earlyReleases() == 1);
}

TEST_CASE("a new revision releases all responses, one that is known releases none")
{
    auto held = Held();
    held.responses.revisionReached(REVISION, held.scheduler.now());
    held.run();
    CHECK(held.responses.size() == HOLDERS);
    CHECK(held.responses.earlyReleases() == 0);
    held.responses.revisionReached(REVISION + 1, held.scheduler.now());
    held.run();
    CHECK(held.released == HOLDERS);
}

TEST_CASE("a change that comes before the response is held releases it at once")
{
    auto held = Held();
    held.responses.sharesChanged(Held::holder(HOLDERS));
    held.hold(HOLDERS, held.scheduler.now() + 60s);
    CHECK(held.released == 1);
    CHECK(held.responses.earlyReleases() == 0);
    CHECK(held.responses.size() == HOLDERS);
}

// Guards against a lease that runs out because its renewal is held for too long.
TEST_CASE("responses are released at their deadline, in its order")
{
    auto held = Held();
    held.hold(HOLDERS, held.scheduler.now() + 200ms);
    held.hold(HOLDERS + 1, held.scheduler.now() + 100ms);
    held.responses.expire(held.scheduler.now() + 99ms);
    held.run();
    CHECK(held.released == 0);
    held.responses.expire(held.scheduler.now() + 100ms);
    held.run();
    CHECK(held.released == 1);
    held.responses.expire(held.scheduler.now() + 200ms);
    held.run();
    CHECK(held.released == 2);
    CHECK(held.responses.size() == HOLDERS);
}

// Guards against an entry that suspects a primary alone and makes all others send without pause.
TEST_CASE("releases of all responses keep their distance")
{
    auto held = Held();
    held.responses.releaseAll(held.scheduler.now());
    held.run();
    CHECK(held.released == HOLDERS);
    held.hold(0, held.scheduler.now() + 60s);
    held.responses.releaseAll(held.scheduler.now() + HeldResponses::RELEASE_ALL_INTERVAL_MS - 1ms);
    held.run();
    CHECK(held.released == HOLDERS);
    held.responses.releaseAll(held.scheduler.now() + HeldResponses::RELEASE_ALL_INTERVAL_MS);
    held.run();
    CHECK(held.released == HOLDERS + 1);
}

// Guards against a leader that is busy with responses while many endpoints announce themselves:
// each change was told to each entry in a response of its own.
TEST_CASE("changes that come close together are told in one response")
{
    constexpr auto PAUSE = Duration(HOLDERS * HeldResponses::REVISION_PAUSE_PER_RESPONSE_US);
    auto held = Held();
    const auto start = held.scheduler.now();
    held.responses.revisionReached(REVISION + 1, start);
    held.run();
    REQUIRE(held.released == HOLDERS);
    // The entries send their next heartbeats, which are a revision behind by then.
    held.responses.revisionReached(REVISION + 2, start + PAUSE / 5);
    for (auto index = 0; index < HOLDERS; ++index)
        held.hold(index, start + 60s);
    held.responses.revisionReached(REVISION + 3, start + PAUSE / 2);
    held.responses.expire(start + PAUSE - 1us);
    held.run();
    CHECK(held.released == HOLDERS);
    held.responses.expire(start + PAUSE);
    held.run();
    CHECK(held.released == 2 * HOLDERS);
    // After the pause a change is told at once.
    held.scheduler.runFor(2 * PAUSE);
    held.hold(0, held.scheduler.now() + 60s);
    CHECK(held.released == 2 * HOLDERS + 1);
}

// Guards against changes in turn that wait for each other in a small fleet: an operator's next
// change is sent when the one before is in force.
TEST_CASE("a fleet of a few entries is told each change at once")
{
    auto scheduler = VirtualScheduler();
    auto responses = HeldResponses(scheduler.executor());
    auto released = 0;
    for (auto revision = REVISION; revision < REVISION + 100; ++revision) {
        responses.hold(Held::holder(0), revision, scheduler.now() + 60s,
                       [&released] { ++released; });
        responses.revisionReached(revision + 1, scheduler.now());
        scheduler.runFor(1ms);
    }
    CHECK(released == 100);
}

TEST_CASE("closing releases what is held, and nothing is held after it")
{
    auto held = Held();
    held.responses.close();
    held.run();
    CHECK(held.released == HOLDERS);
    held.hold(0, held.scheduler.now() + 60s);
    CHECK(held.released == HOLDERS + 1);
}

} // namespace auburnrail
