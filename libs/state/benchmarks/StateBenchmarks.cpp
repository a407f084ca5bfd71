#include <lease/LeaseTable.h>
#include <state/AppliedState.h>
#include <state/FleetState.h>
#include <wire/FleetCodec.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

namespace auburnrail {

namespace {

/// Bytes allocated by malloc, in arenas and in mapped blocks.
auto allocatedBytes() -> double
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

auto organisation(std::int64_t number) -> FleetObject
{
    return Organisation{.name = "organisation-" + std::to_string(number),
                        .ratePerSecond = 100,
                        .burst = 200,
                        .labels = {{"tier", "gold"}, {"region", "coast"}}};
}

auto key(std::int64_t number) -> FleetObject
{
    return Key{.id = "0123456789" + std::to_string(number),
               .organisation = "organisation-0",
               .hash = std::string(64, 'a')};
}

auto endpoint(std::int64_t number) -> FleetObject
{
    return Endpoint{.name = "endpoint-" + std::to_string(number),
                    .group = "group-" + std::to_string(number / 3),
                    .zone = "interior-a",
                    .address = "127.0.0.1:17201",
                    .connectionLimit = 50,
                    .labels = {{"disk", "fast"}}};
}

using ObjectMaker = auto(*)(std::int64_t) -> FleetObject;

auto setCommand(FleetObject object, Revision index) -> Command
{
    return Command{CommandHeader{.commandId = "command-" + std::to_string(index),
                                 .baseRevision = index - 1,
                                 .operatorName = "operator"},
                   SetObject{std::move(object)}};
}

/// State with one organisation and `count` objects.
auto makeState(ObjectMaker make, std::int64_t count) -> FleetState
{
    auto state = FleetState();
    (void)applyCommand(state, setCommand(organisation(0), 1), 1);
    for (auto number = std::int64_t(0); number < count; ++number) {
        const auto index = state.revision() + 1;
        (void)applyCommand(state, setCommand(make(number), index), index);
    }
    return state;
}

/// Time of one command on a state of the given size; memory and encoded bytes of one object.
auto applyAtSize(benchmark::State &run, ObjectMaker make) -> void
{
    const auto count = run.range(0);
    const auto before = allocatedBytes();
    // A restored state has no journal, so that its size is that of the objects.
    auto snapshot = makeState(make, count).entrySnapshot();
    const auto encoded = encodeSnapshot(snapshot).size();
    auto state = FleetState::restore(snapshot);
    snapshot = {};
    malloc_trim(0);
    const auto memory = allocatedBytes() - before;
    auto number = std::int64_t(0);
    for (auto _ : run) {
        const auto index = state.revision() + 1;
        // Other objects than keys are replaced; keys never are, so their labels change.
        auto command = setCommand(make(number++ % count), index);
        if (const auto *created = std::get_if<Key>(&std::get<SetObject>(command.body).object))
            command.body = SetLabel{ObjectKind::Key, created->id, "a", std::to_string(index)};
        benchmark::DoNotOptimize(applyCommand(state, command, index));
    }
    run.counters["memory_bytes_per_object"] = memory / static_cast<double>(count);
    run.counters["encoded_bytes_per_object"] =
        static_cast<double>(encoded) / static_cast<double>(count);
}

/// Time of one change on an entry's copy of the given size, with a reader of the old copy.
auto entryChangeAtSize(benchmark::State &run, ObjectMaker make) -> void
{
    auto state = makeState(make, run.range(0));
    auto entry = AppliedState();
    (void)entry.replace(state.entrySnapshot());
    auto revision = entry.revision();
    auto encoded = std::size_t(0);
    for (auto _ : run) {
        auto changed = make(0);
        std::visit([revision](auto &value) { value.changedAt = revision + 1; }, changed);
        const auto update =
            FleetUpdate{revision,
                        revision + 1,
                        {FleetChange{revision + 1, kindOf(changed), objectName(changed), changed}}};
        run.PauseTiming();
        encoded = encodeChanges(update).size();
        run.ResumeTiming();
        benchmark::DoNotOptimize(entry.applyChanges(update).ok());
        ++revision;
    }
    run.counters["encoded_bytes_per_change"] = static_cast<double>(encoded);
}

auto renewAtSize(benchmark::State &run) -> void
{
    const auto count = run.range(0);
    const auto before = allocatedBytes();
    auto table = LeaseTable(LeaseTableHooks{.hasQuorum = [](TimePoint) {
        return true;
    }});
    auto now = TimePoint(std::chrono::hours(1));
    table.beginLeadership(1, now);
    auto ids = std::vector<LeaseId>();
    for (auto number = std::int64_t(0); number < count; ++number)
        ids.push_back({"instance-" + std::to_string(number), 1234567890123ULL});
    const auto withIds = allocatedBytes();
    for (const auto &id : ids)
        (void)table.renew(id, 1, now);
    run.counters["memory_bytes_per_instance"] =
        (allocatedBytes() - withIds) / static_cast<double>(count);
    benchmark::DoNotOptimize(before);
    auto next = std::size_t(0);
    auto revision = Revision(1);
    // Every instance renews once in 500 ms of virtual time, naming a new revision each round.
    const auto step = Duration(std::chrono::milliseconds(500)) / count;
    for (auto _ : run) {
        now += step;
        if (next % ids.size() == 0)
            ++revision;
        benchmark::DoNotOptimize(table.renew(ids[next++ % ids.size()], revision, now));
    }
}

} // namespace

BENCHMARK_CAPTURE(applyAtSize, organisations, organisation)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000)
    ->Arg(50000);
BENCHMARK_CAPTURE(applyAtSize, keys, key)->Arg(100)->Arg(1000)->Arg(10000)->Arg(100000);
BENCHMARK_CAPTURE(applyAtSize, endpoints, endpoint)->Arg(90)->Arg(900)->Arg(9000)->Arg(75000);
BENCHMARK_CAPTURE(entryChangeAtSize, organisations, organisation)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000)
    ->Arg(50000);
BENCHMARK_CAPTURE(entryChangeAtSize, keys, key)->Arg(100)->Arg(1000)->Arg(10000)->Arg(100000);
BENCHMARK_CAPTURE(entryChangeAtSize, endpoints, endpoint)->Arg(90)->Arg(900)->Arg(9000)->Arg(75000);
BENCHMARK(renewAtSize)->Arg(10)->Arg(100)->Arg(1000)->Arg(10000);

} // namespace auburnrail
