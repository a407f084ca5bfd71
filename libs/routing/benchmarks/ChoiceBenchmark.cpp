// Compares the endpoint choices on a simulated fleet and prints one JSON object for each choice,
// load and seed: response time percentiles in ms, refusals, and the fraction of the requests that
// each endpoint served. The fleet has three zones with one entry and two endpoints each. "slow"
// takes five times as long for a request, and other load keeps seven of the eight slots of
// "overloaded" busy.
// Usage: auburnrail_routing_benchmark [FIRST_SEED [SEEDS]]

#include <routing/EndpointTable.h>

#include <core/RandomSource.h>
#include <core/VirtualScheduler.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>

namespace auburnrail {

namespace {

using namespace std::chrono_literals;

constexpr auto RUN_TIME = Duration(20s);
constexpr auto WARM_UP = Duration(3s);
constexpr auto SERVICE_TIME = Duration(3ms); // Mean of an exponential distribution.
constexpr auto SLOTS = 8;

struct Server
{
    std::string name;
    std::string zone;
    double slowness = 1.0;
    int slots = SLOTS;
    int busy = 0;
    std::deque<Task> queue;
    std::uint64_t served = 0;
};

class Simulation
{
public:
    Simulation(EndpointChoice choice, std::uint64_t seed, Duration arrivalInterval)
        : arrivalInterval(arrivalInterval)
        , random(makeSeededRandom(seed))
        , executor(this->scheduler.executor())
    {
        auto descriptions = std::vector<EndpointDescription>();
        const auto names = std::vector<std::string>{"a1", "a2", "b1", "slow", "c1", "overloaded"};
        for (auto i = std::size_t{0}; i < names.size(); ++i) {
            const auto zone = std::string(1, static_cast<char>('a' + i / 2));
            this->servers.push_back(Server{.name = names[i],
                                           .zone = zone,
                                           .slowness = names[i] == "slow" ? 5.0 : 1.0,
                                           .slots = names[i] == "overloaded" ? 1 : SLOTS});
            descriptions.push_back({.name = names[i], .group = "g", .zone = zone, .address = "-"});
        }
        for (const auto *zone : {"a", "b", "c"}) {
            this->tables.push_back(std::make_unique<EndpointTable>(zone, choice));
            this->tables.back()->updateFromState(descriptions, TimePoint());
            for (const auto &server : this->servers)
                this->tables.back()->recordResponse(server.name, {.measuresTime = false},
                                                    TimePoint());
        }
    }

    auto run() -> void
    {
        for (auto entry = std::size_t{0}; entry < this->tables.size(); ++entry)
            this->arrive(entry);
        this->scheduler.runFor(RUN_TIME);
    }

    auto print(const char *choice, std::uint64_t seed) -> void
    {
        std::sort(this->times.begin(), this->times.end());
        const auto percentile = [this](double quantile) {
            return this->times[static_cast<std::size_t>(
                quantile * static_cast<double>(this->times.size() - 1))];
        };
        std::printf("{\"choice\":\"%s\",\"seed\":%llu,\"interval_us\":%lld,"
                    "\"requests\":%zu,\"refused\":%llu,"
                    "\"p50_ms\":%.2f,\"p99_ms\":%.2f,\"share\":{",
                    choice, static_cast<unsigned long long>(seed),
                    static_cast<long long>(this->arrivalInterval / 1us), this->times.size(),
                    static_cast<unsigned long long>(this->refused), percentile(0.5),
                    percentile(0.99));
        for (const auto &server : this->servers) {
            std::printf(
                "%s\"%s\":%.3f", &server == &this->servers.front() ? "" : ",", server.name.c_str(),
                static_cast<double>(server.served) / static_cast<double>(this->times.size()));
        }
        std::printf("}}\n");
    }

private:
    auto uniform() -> double
    {
        return (static_cast<double>(this->random() >> 11U) + 0.5) / 9007199254740992.0;
    }

    auto exponential(Duration mean, double factor = 1.0) -> Duration
    {
        return Duration(static_cast<std::int64_t>(-std::log(this->uniform()) * factor
                                                  * static_cast<double>(mean.count())));
    }

    auto oneWay(std::size_t entry, const Server &server) -> Duration
    {
        const auto same = server.zone[0] - 'a' == static_cast<char>(entry);
        return same ? Duration(200us)
                    : Duration(3ms) + Duration(static_cast<std::int64_t>(this->uniform() * 1e6));
    }

    auto arrive(std::size_t entry) -> void
    {
        this->executor.postAfter(this->exponential(this->arrivalInterval), [this, entry] {
            this->request(entry);
            this->arrive(entry);
        });
    }

    auto request(std::size_t entry) -> void
    {
        const auto now = this->scheduler.now();
        auto &table = *this->tables[entry];
        const auto chosen = table.choose({.group = "g"}, this->random(), now);
        if (!chosen) {
            this->refused += now > TimePoint(WARM_UP) ? 1 : 0;
            return;
        }
        table.begin(chosen->name);
        auto &server = *std::find_if(this->servers.begin(), this->servers.end(),
                                     [&](const Server &row) { return row.name == chosen->name; });
        this->executor.postAfter(this->oneWay(entry, server), [this, entry, now, &server] {
            server.queue.push_back(
                [this, entry, now, &server] { this->finish(entry, now, server); });
            this->startNext(server);
        });
    }

    auto startNext(Server &server) -> void
    {
        if (server.busy == server.slots || server.queue.empty())
            return;
        ++server.busy;
        auto task = std::move(server.queue.front());
        server.queue.pop_front();
        this->executor.postAfter(this->exponential(SERVICE_TIME, server.slowness),
                                 [this, &server, task] {
                                     --server.busy;
                                     task();
                                     this->startNext(server);
                                 });
    }

    auto finish(std::size_t entry, TimePoint begun, Server &server) -> void
    {
        this->executor.postAfter(this->oneWay(entry, server), [this, entry, begun, &server] {
            const auto now = this->scheduler.now();
            auto &table = *this->tables[entry];
            table.recordResponse(server.name, {.sentAt = begun, .responseTime = now - begun}, now);
            table.end(server.name);
            if (begun < TimePoint(WARM_UP))
                return;
            ++server.served;
            this->times.push_back(std::chrono::duration<double, std::milli>(now - begun).count());
        });
    }

    Duration arrivalInterval; // Mean per entry.
    RandomSource random;
    VirtualScheduler scheduler;
    Executor executor;
    std::deque<Server> servers;
    std::vector<std::unique_ptr<EndpointTable>> tables;
    std::vector<double> times;
    std::uint64_t refused = 0;
};

} // namespace

} // namespace auburnrail

auto main(int argc, char **argv) -> int
{
    const auto first = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const auto seeds = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 3;
    using namespace std::chrono_literals;
    for (auto seed = first; seed < first + seeds; ++seed) {
        for (const auto interval : {auburnrail::Duration(1ms), auburnrail::Duration(400us),
                                    auburnrail::Duration(320us)}) {
            auto twoChoices =
                auburnrail::Simulation(auburnrail::makeLeastLoadedOfTwo(), seed, interval);
            twoChoices.run();
            twoChoices.print("least-loaded-of-two", seed);
            auto groups =
                auburnrail::Simulation(auburnrail::makeActiveBenchmarking(), seed, interval);
            groups.run();
            groups.print("active-benchmarking", seed);
        }
    }
    return 0;
}
