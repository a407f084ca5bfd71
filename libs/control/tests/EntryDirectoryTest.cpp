#include <control/EntryDirectory.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto START = TimePoint(100s);

auto seen(const std::string &instance, const std::string &zone, TimePoint at) -> EntryRecord
{
    return EntryRecord{.instance = instance, .zone = zone, .lastSeenAt = at};
}

} // namespace

// Guards against shares of connections that are divided among entries which are gone, or counted
// twice for one that has moved.
TEST_CASE("live entries are counted once, in the zone of their last heartbeat")
{
    auto directory = EntryDirectory();
    CHECK(directory.countInZone("a", START) == 0);
    directory.record(seen("entry-1", "a", START));
    directory.record(seen("entry-1", "a", START + 1s));
    directory.record(seen("entry-2", "a", START));
    directory.record(seen("entry-3", "b", START));
    CHECK(directory.countInZone("a", START + 1s) == 2);
    CHECK(directory.countInZone("b", START + 1s) == 1);

    directory.record(seen("entry-2", "b", START + 1s));
    CHECK(directory.countInZone("a", START + 1s) == 1);
    CHECK(directory.countInZone("b", START + 1s) == 2);

    CHECK(directory.countInZone("b", START + EntryDirectory::LIVE_MS + 1ms) == 1);
    CHECK(directory.countInZone("a", START + 1s + EntryDirectory::LIVE_MS) == 1);
    CHECK(directory.countInZone("a", START + 1s + EntryDirectory::LIVE_MS + 1ms) == 0);
}

TEST_CASE("an entry that is not live is listed until its lifetime ends, and counts again when seen")
{
    auto directory = EntryDirectory();
    directory.record(seen("entry-1", "a", START));
    CHECK(directory.countInZone("a", START + 1min) == 0);
    CHECK(directory.list(START + 1min).size() == 1);
    directory.record(seen("entry-1", "a", START + 2min));
    CHECK(directory.countInZone("a", START + 2min) == 1);
    CHECK(directory.list(START + 2min + EntryDirectory::LIFETIME_MIN + 1s).empty());
    CHECK(directory.countInZone("a", START + 2min) == 0);
}

} // namespace auburnrail
