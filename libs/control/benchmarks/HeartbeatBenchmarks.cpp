// Cost of heartbeats, which make up most of the work of control: at the leader by the number of
// entries and of groups per entry, and on the wire by the number of groups and organisations that
// an entry serves.

#include <control/ControlTables.h>
#include <control/HeartbeatService.h>
#include <wire/HeartbeatSize.h>

#include <core/WorkerPool.h>

#include <benchmark/benchmark.h>

#include <string>

namespace auburnrail {

namespace {

auto makeHeartbeat(std::size_t instance, std::size_t groups, std::size_t organisations) -> Heartbeat
{
    auto heartbeat = Heartbeat();
    heartbeat.instance = "entry-" + std::to_string(instance);
    heartbeat.incarnation = instance + 1;
    heartbeat.zone = "zone-" + std::to_string(instance % 15);
    heartbeat.operatorsAddress = "10.0.0.1:7002";
    heartbeat.shares.holder = HolderId{heartbeat.instance, heartbeat.incarnation};
    heartbeat.shares.zone = heartbeat.zone;
    for (auto group = std::size_t(0); group < groups; ++group) {
        heartbeat.primaries.push_back(PrimaryReport{
            .group = "group-" + std::to_string(group), .term = 3, .unreachableFor = {}});
    }
    for (auto index = std::size_t(0); index < organisations; ++index) {
        const auto name = "organisation-" + std::to_string(index);
        heartbeat.shares.demands.push_back(Demand{.organisation = name, .arrivedPerSecond = 10});
        heartbeat.shares.heldShares.push_back(Share{name, 10000, 5000});
    }
    return heartbeat;
}

/// Tables of a leader whose proposals fail.
class Leader
{
public:
    Leader()
        : workers(1)
        , tables(this->workers.executor(), makeSeededRandom(1),
                 ControlTablesHooks{.propose = [](const std::string &) -> absl::StatusOr<Revision> {
                                        return absl::UnavailableError("not in this benchmark");
                                    },
                                    .isLeaderWithQuorum = [](TimePoint) { return true; },
                                    .leader =
                                        [] {
                                            return std::string("control-1");
                                        }})
        , service(tables)
    {
        this->tables.leadershipChanged(true, 1);
    }

    ~Leader()
    {
        this->workers.stop();
    }

    Leader(const Leader &) = delete;
    auto operator=(const Leader &) -> Leader & = delete;

    WorkerPool workers;
    ControlTables tables;
    HeartbeatService service;
};

auto answerHeartbeats(benchmark::State &state) -> void
{
    const auto entries = static_cast<std::size_t>(state.range(0));
    const auto groups = static_cast<std::size_t>(state.range(1));
    auto leader = Leader();
    auto heartbeats = std::vector<Heartbeat>();
    for (auto entry = std::size_t(0); entry < entries; ++entry)
        heartbeats.push_back(makeHeartbeat(entry, groups, 4));
    auto next = std::size_t(0);
    for (auto _ : state) {
        auto &heartbeat = heartbeats[next++ % entries];
        ++heartbeat.shares.sequence;
        leader.service.respond(heartbeat, [](const HeartbeatAnswer &answer) {
            benchmark::DoNotOptimize(answer.entries);
        });
    }
}
BENCHMARK(answerHeartbeats)->ArgsProduct({{100, 500, 1000, 2300}, {1, 10, 33, 100}});

auto sizeOnTheWire(benchmark::State &state) -> void
{
    const auto heartbeat = makeHeartbeat(1, static_cast<std::size_t>(state.range(0)),
                                         static_cast<std::size_t>(state.range(1)));
    auto bytes = std::size_t(0);
    for (auto _ : state)
        bytes = encodedSize(heartbeat);
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(sizeOnTheWire)->ArgsProduct({{0, 10, 33, 100}, {0, 4, 16, 64}});

} // namespace

} // namespace auburnrail

BENCHMARK_MAIN();
