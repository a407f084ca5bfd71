#include "CommandBuilder.h"

#include <state/AppliedState.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace auburnrail {

namespace {

auto allObjects(const FleetObjects &objects) -> std::vector<FleetObject>
{
    auto all = std::vector<FleetObject>();
    objects.forEach([&all](const FleetObject &object) { all.push_back(object); });
    return all;
}

} // namespace

// Guards against members or entries that diverge from the leader, and against results that depend
// on a member's history of snapshots.
TEST_CASE("copies that apply the same commands, or are updated by changes, stay equal")
{
    CHECK(rc::check("copies stay equal", [](std::uint64_t seed) {
        const auto random = makeSeededRandom(seed);
        auto leader = FleetState();
        auto follower = FleetState();
        auto entry = AppliedState();
        auto applied = 0;
        for (auto index = Revision(1); index < 200; ++index) {
            const auto next = randomCommand(random, leader.revision());
            const auto result = applyCommand(leader, next, index);
            RC_ASSERT(applyCommand(follower, next, index) == result);
            applied += result.status == CommandStatus::Applied ? 1 : 0;
            if (random() % 16 == 0)
                follower = FleetState::restore(follower.snapshot());
            const auto reader = entry.snapshot();
            const auto before = *reader;
            if (random() % 8 == 0) {
                // A response to an older heartbeat overlaps what the entry has.
                const auto base = entry.revision() - random() % (entry.revision() / 2 + 1);
                RC_ASSERT(entry.applyChanges(*leader.changesSince(base)).ok());
                RC_ASSERT(*entry.snapshot() == leader.objects());
            }
            RC_ASSERT(*reader == before);
        }
        RC_ASSERT(applied > 0);
        RC_ASSERT(follower.objects() == leader.objects());
        RC_ASSERT(follower.snapshot() == leader.snapshot());
        RC_ASSERT(objectsOf(leader.entrySnapshot()) == leader.objects());
    }));
}

// Guards against two operators who both succeed in changing the same revision of an object.
TEST_CASE("of two commands with equal expected revisions exactly one wins")
{
    CHECK(rc::check("one wins", [](std::uint64_t seed) {
        const auto random = makeSeededRandom(seed);
        auto state = FleetState();
        auto index = Revision(0);
        for (; index < 60;) {
            ++index;
            (void)applyCommand(state, randomCommand(random, index - 1), index);
        }
        const auto all = allObjects(state.objects());
        if (all.empty())
            return;
        const auto &object = all[random() % all.size()];
        const auto revision = std::visit([](const auto &value) { return value.changedAt; }, object);
        auto winners = 0;
        for (const auto *id : {"left", "right"}) {
            auto change = command(id, SetLabel{kindOf(object), objectName(object), "x", id}, index);
            change.header.expectedRevision = revision;
            ++index;
            const auto result = applyCommand(state, change, index);
            winners += result.status == CommandStatus::Applied ? 1 : 0;
            RC_ASSERT(result.status == CommandStatus::Applied || result.winningCommandId == "left");
        }
        RC_ASSERT(winners == 1);
    }));
}

// Guards against an entry that returns to an older state or skips changes.
TEST_CASE("an entry's copy refuses older states and gaps")
{
    auto entry = AppliedState();
    REQUIRE(entry.replace(FleetSnapshot{.revision = 10}).ok());
    CHECK_FALSE(entry.replace(FleetSnapshot{.revision = 9}).ok());
    CHECK_FALSE(entry.applyChanges(FleetUpdate{.baseRevision = 5, .revision = 9}).ok());
    CHECK_FALSE(entry.applyChanges(FleetUpdate{.baseRevision = 11, .revision = 12}).ok());
    CHECK(entry.revision() == 10);
    CHECK(entry.applyChanges(FleetUpdate{.baseRevision = 10, .revision = 12}).ok());
    CHECK(entry.revision() == 12);
}

} // namespace auburnrail
