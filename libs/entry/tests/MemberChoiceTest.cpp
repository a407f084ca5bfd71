#include <entry/MemberChoice.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto START = TimePoint(100s);

} // namespace

TEST_CASE("heartbeats go to the member that grants leases, or to the one named as leader")
{
    auto choice = MemberChoice({"a", "b", "c"}, true);
    CHECK(choice.current() == "a");
    choice.granted();
    CHECK(choice.current() == "a");
    choice.refused("c", START);
    CHECK(choice.current() == "c");
    choice.refused("", START);
    CHECK(choice.current() == "a");
    choice.refused("d", START);
    CHECK(choice.current() == "d");
    choice.refused("d", START);
    CHECK(choice.current() == "a");
}

// Guards against an entry that waits for a frozen leader again and again while there is a new one:
// the other entries' limits are not granted until it has reported.
TEST_CASE("a member that did not respond is passed over, and suspect when it is named")
{
    auto choice = MemberChoice({"a", "b", "c"}, false);
    choice.silent(START);
    CHECK(choice.current() == "b");
    choice.refused("", START + 50ms);
    CHECK(choice.current() == "c");
    choice.refused("", START + 100ms);
    CHECK(choice.current() == "b");
    CHECK_FALSE(choice.isSuspect(START + 100ms));
    // A follower names the former leader until it hears of the new one.
    choice.refused("a", START + 150ms);
    CHECK(choice.current() == "a");
    CHECK(choice.isSuspect(START + 150ms));
    CHECK_FALSE(choice.isSuspect(START + MemberChoice::SILENCE_MEMORY_MS));
    choice.granted();
    CHECK_FALSE(choice.isSuspect(START + 200ms));
}

// Guards against an entry that never gets a lease from a leader that takes longer than the short
// time limit, since each attempt makes the leader suspect again.
TEST_CASE("a leader that is silent again is tried with the usual time limit")
{
    auto choice = MemberChoice({"a", "b"}, false);
    choice.silent(START);
    choice.refused("a", START + 50ms);
    CHECK(choice.isSuspect(START + 50ms));
    choice.silent(START + 350ms);
    choice.refused("a", START + 400ms);
    CHECK(choice.current() == "a");
    CHECK_FALSE(choice.isSuspect(START + 400ms));
    choice.granted();
    choice.silent(START + 3s);
    choice.refused("a", START + 3s);
    CHECK(choice.isSuspect(START + 3s));
}

TEST_CASE("when no member responds each is tried in turn")
{
    auto choice = MemberChoice({"a", "b"}, false);
    choice.silent(START);
    choice.silent(START + 300ms);
    CHECK(choice.current() == "a");
    choice.silent(START + 600ms);
    CHECK(choice.current() == "b");
}

} // namespace auburnrail
