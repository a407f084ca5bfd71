#include <control/EntryUpdates.h>

#include <state/Command.h>
#include <wire/FleetCodec.h>

#include <catch2/catch.hpp>

namespace auburnrail {

namespace {

/// Stores an organisation at log `index`.
auto storeOrganisation(FleetStore &store, Revision index) -> void
{
    auto command = Command();
    command.header.commandId = "c" + std::to_string(index);
    command.body = SetObject{Organisation{
        .name = "o" + std::to_string(index), .ratePerSecond = 1, .burst = 1, .weight = 1}};
    REQUIRE(store.apply(index, encodeCommand(command)).status == CommandStatus::Applied);
}

} // namespace

// Guards against a leader that loses its leadership after a large change: it composed and encoded
// the change anew for each entry.
TEST_CASE("entries at the same revision share one update")
{
    auto store = FleetStore();
    auto updates = EntryUpdates(store);
    for (auto index = Revision(1); index <= 3; ++index)
        storeOrganisation(store, index);
    const auto first = updates.since(1);
    REQUIRE(first.changes != nullptr);
    CHECK(first.changes->changes.size() == 2);
    CHECK(updates.since(1).changes == first.changes);
    const auto other = updates.since(2);
    REQUIRE(other.changes != nullptr);
    CHECK(other.changes->changes.size() == 1);
    CHECK((updates.since(3).changes == nullptr && updates.since(3).snapshot == nullptr));
    storeOrganisation(store, 4);
    const auto later = updates.since(1);
    REQUIRE(later.changes != nullptr);
    CHECK(later.changes->revision == 4);
    CHECK(later.changes->changes.size() == 3);
}

} // namespace auburnrail
