#include <control/ControlTables.h>

#include <wire/FleetCodec.h>

#include <AnnouncementBuilder.h>
#include <LeaderHooks.h>

#include <core/VirtualScheduler.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

// Guards against a member that wins a second election and removes all replicas, because it has not
// heard of them since its first leadership, before it begins the second one.
TEST_CASE("an earlier leader removes no endpoint before it leads again")
{
    auto scheduler = VirtualScheduler();
    auto removals = 0;
    auto hooks = leaderHooks();
    hooks.propose = [&removals](const std::string &payload) -> absl::StatusOr<Revision> {
        if (std::holds_alternative<DeleteObject>(decodeCommand(payload).value().body))
            ++removals;
        return absl::UnavailableError("no log");
    };
    auto tables = ControlTables(scheduler.executor(), makeSeededRandom(1), hooks,
                                ControlTablesSettings{.endpointTimeout = 20s});
    const auto log = std::vector<CommandBody>{
        SetObject{Service{.name = "s", .group = "g"}},
        SetObject{Endpoint{
            .name = "e1", .group = "g", .zone = "z", .address = "127.0.0.1:1", .startedAt = 5}}};
    for (auto index = std::size_t(0); index < log.size(); ++index)
        tables.committed(index + 1, encodeCommand(tables.makeCommand(log[index])));
    tables.leadershipChanged(true, 1);
    REQUIRE(tables.announce(announcement("e1", 5, 1)).ok());
    tables.leadershipChanged(false, 1);
    scheduler.runFor(60s);
    tables.tick(scheduler.now());
    CHECK(removals == 0);
    tables.leadershipChanged(true, 3);
    scheduler.runFor(1s);
    tables.tick(scheduler.now());
    CHECK(removals == 0);
    scheduler.runFor(60s);
    tables.tick(scheduler.now());
    CHECK(removals == 1);
}

} // namespace auburnrail
