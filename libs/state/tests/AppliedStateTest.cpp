#include <state/AppliedState.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

namespace auburnrail {

namespace {

constexpr auto LAST_REVISION = Revision(300);

/// Sets objects `a` and `b` to the weight `revision`.
auto updateTo(Revision revision) -> FleetUpdate
{
    auto update = FleetUpdate{revision - 1, revision, {}};
    for (const auto *name : {"a", "b"}) {
        update.changes.push_back(
            {revision, ObjectKind::Organisation, name,
             Organisation{.name = name, .weight = double(revision), .changedAt = revision}});
    }
    return update;
}

} // namespace

// Guards against readers that see a partial update, and against a shard that is written while it is
// read.
TEST_CASE("readers of an entry's copy see whole updates while others apply them")
{
    auto state = AppliedState();
    REQUIRE(state.applyChanges(updateTo(1)).ok());
    auto torn = std::atomic<int>(0);
    auto threads = std::vector<std::thread>();
    for (auto reader = 0; reader < 3; ++reader) {
        threads.emplace_back([&state, &torn] {
            // Bounded; ends when the last update was applied.
            for (auto count = 0; count < 1000000; ++count) {
                const auto objects = state.snapshot();
                const auto first = objects->find<Organisation>("a")->weight;
                const auto second = objects->find<Organisation>("b")->weight;
                if (first != second || first != double(objects->revision()))
                    ++torn;
                if (objects->revision() == LAST_REVISION)
                    return;
            }
        });
    }
    // Two threads apply updates, as when responses to two heartbeats arrive at the same time.
    for (auto applier = 0; applier < 2; ++applier) {
        threads.emplace_back([&state] {
            for (auto revision = Revision(2); revision <= LAST_REVISION; ++revision)
                (void)state.applyChanges(updateTo(revision));
        });
    }
    for (auto &thread : threads)
        thread.join();
    CHECK(torn == 0);
    CHECK(state.revision() == LAST_REVISION);
}

} // namespace auburnrail
