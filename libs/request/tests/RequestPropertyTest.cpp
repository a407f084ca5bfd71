#include <FakeEntryInstance.h>
#include <Strand.h>

#include <core/VirtualScheduler.h>
#include <core/WorkerPool.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <future>

namespace auburnrail {

namespace {

constexpr auto REQUESTS = 24;
constexpr auto TICK = Duration(50ms);

/// Random requests, faults, failovers and lease losses on two entries, all derived from `seed`.
class Trial
{
public:
    explicit Trial(std::uint64_t seed)
        : random(makeSeededRandom(seed))
        , entries{std::make_unique<FakeEntryInstance>(fleet, scheduler.executor(), seed, "e1"),
                  std::make_unique<FakeEntryInstance>(fleet, scheduler.executor(), seed + 7, "e2")}
    {
    }

    auto run() -> void
    {
        this->fleet.fault = [this](const ConnectionHandle &handle, const EndpointRequest &request) {
            return this->drawFault(handle, request);
        };
        for (auto i = 0; i < REQUESTS; ++i) {
            this->scheduler.executor().postAfter(Duration(2ms) * this->draw(1000),
                                                 [this, i] { this->issue(i); });
        }
        for (const auto begin : {this->draw(1000), 2000 + this->draw(500)}) {
            this->scheduler.executor().postAfter(Duration(1ms) * begin, [this] {
                this->fleet.fence();
                this->refresh();
            });
            this->scheduler.executor().postAfter(Duration(1ms) * (begin + 300), [this] {
                this->fleet.promote();
                this->refresh();
            });
        }
        for (auto tick = 0; tick < 120; ++tick) {
            this->scheduler.runFor(TICK);
            this->fleet.replicate(this->draw(2) == 0 ? "q" : "r");
            this->entries[0]->lease = tick > 80 || this->draw(8) != 0;
            this->refresh();
        }
    }

    auto trace() -> std::string
    {
        return this->entries[0]->trace + this->entries[1]->trace;
    }

    FakeFleet fleet;
    std::map<std::string, std::vector<CallerResponse>> responses; ///< By statement.
    std::map<std::string, CallerResponse> commits;                ///< By statement.

private:
    auto draw(std::uint64_t limit) -> int
    {
        return static_cast<int>(this->random() % limit);
    }

    auto refresh() -> void
    {
        for (const auto &entry : this->entries)
            entry->refresh();
    }

    auto drawFault(const ConnectionHandle & /*handle*/, const EndpointRequest & /*request*/)
        -> Fault
    {
        if (this->draw(4) != 0)
            return {};
        return {.kind = static_cast<FaultKind>(1 + this->draw(7)),
                .refusal = static_cast<EndpointRefusal>(1 + this->draw(9))};
    }

    auto issue(int number) -> void
    {
        auto &entry = *this->entries[static_cast<std::size_t>(number) % 2];
        const auto kind = this->draw(3);
        const auto statement = absl::StrCat(kind == 0 ? "W" : kind == 1 ? "K" : "T", number);
        auto request = entry.request(kind == 2 ? RequestKind::Begin : RequestKind::Statement,
                                     AccessMode::Write, statement);
        request.requestId = statement;
        if (kind == 1)
            request.idempotencyKey = statement;
        RequestMachine::serve(request,
                              entry.hooks([=, this, &entry](const CallerResponse &response) {
                                  if (kind == 2)
                                      this->continueTransaction(entry, statement, response, 2);
                                  else
                                      this->responses[statement].push_back(response);
                              }),
                              entry.tables());
    }

    auto continueTransaction(FakeEntryInstance &entry, const std::string &statement,
                             const CallerResponse &last, int left) -> void
    {
        if (last.outcome != Outcome::Ran)
            return;
        const auto id = last.transaction.empty() ? this->open[statement] : last.transaction;
        this->open[statement] = id;
        auto request = entry.request(left > 0 ? RequestKind::Statement : RequestKind::Commit,
                                     AccessMode::Write, statement);
        request.transaction = id;
        RequestMachine::serve(
            request, entry.hooks([=, this, &entry](const CallerResponse &response) {
                if (left > 0)
                    this->continueTransaction(entry, statement, response, left - 1);
                else
                    this->commits[statement] = response;
            }),
            entry.tables());
    }

    VirtualScheduler scheduler;
    RandomSource random;
    std::map<std::string, std::string> open; ///< Transaction ids by statement.
    std::array<std::unique_ptr<FakeEntryInstance>, 2> entries;
};

auto checkOutcomes(Trial &trial) -> void
{
    for (const auto &[statement, responses] : trial.responses) {
        RC_LOG() << statement << " " << nameOf(responses.front().reason) << "\n";
        RC_ASSERT(responses.size() == 1U);
        const auto outcome = responses.front().outcome;
        const auto runs = trial.fleet.runsOf(statement);
        const auto effects = trial.fleet.effectsOf(statement);
        RC_ASSERT(effects <= 1);
        RC_ASSERT(statement.front() == 'K' || runs <= 1);
        RC_ASSERT(outcome != Outcome::NotRun || runs == 0);
        // Also after two failovers: an acknowledged write is in the log of the last primary.
        RC_ASSERT(outcome != Outcome::Ran || effects == 1);
    }
    for (const auto &[statement, response] : trial.commits) {
        const auto effects = trial.fleet.effectsOf(statement);
        RC_ASSERT(response.outcome != Outcome::Ran || effects == 2);
        RC_ASSERT(response.outcome != Outcome::NotRun || effects == 0);
    }
    for (const auto &[name, endpoint] : trial.fleet.endpoints)
        RC_ASSERT(!endpoint.mixed);
}

} // namespace

// Checks invariants under random faults: at most one execution without an idempotency key, at most
// one effect with one, no execution of requests reported as not run, acknowledged writes that
// survive failovers, and no connection that mixes transactions.
TEST_CASE("outcomes are true over random faults, failovers and lease losses")
{
    CHECK(rc::check("outcomes are true", [](std::uint64_t seed) {
        auto trial = Trial(seed);
        trial.run();
        checkOutcomes(trial);
    }));
}

// Guards reproducibility: reading any other clock or random source would make the traces differ.
TEST_CASE("the same seed gives the same trace twice")
{
    auto first = Trial(11);
    auto second = Trial(11);
    first.run();
    second.run();
    CHECK(first.trace().size() > 1000);
    CHECK(first.trace() == second.trace());
}

// Guards read-your-writes: over lagging replicas, moves between entries and failovers, a read never
// sees less than the session's last acknowledged write.
TEST_CASE("a session that carries its token reads its writes")
{
    auto replicaReads = 0;
    const auto check = [&](std::uint64_t seed) {
        auto fleet = FakeFleet();
        auto scheduler = VirtualScheduler();
        auto random = makeSeededRandom(seed);
        auto first = FakeEntryInstance(fleet, scheduler.executor(), seed, "e1");
        auto second = FakeEntryInstance(fleet, scheduler.executor(), seed + 7, "e2");
        auto token = std::string();
        auto written = std::uint64_t{0};
        for (auto step = 0; step < 60; ++step) {
            auto &entry = random() % 2 == 0 ? first : second;
            const auto write = random() % 3 == 0;
            auto request = entry.request(RequestKind::Statement,
                                         write ? AccessMode::Write : AccessMode::Read, "X");
            request.sessionToken = token;
            auto response = CallerResponse();
            // A replica that is being rebuilt is behind the position that the last probe saw.
            auto &replica = fleet.endpoints[fleet.view.primary == "q" ? "r" : "q"];
            const auto fullLog = replica.log;
            if (random() % 2 == 0)
                replica.log.clear();
            RequestMachine::serve(request, entry.hooks([&](CallerResponse received) {
                response = std::move(received);
            }),
                                  entry.tables());
            if (step % 25 == 20)
                fleet.fence();
            scheduler.runFor(Duration(200ms));
            if (replica.log.size() < fullLog.size())
                replica.log = fullLog;
            if (!fleet.currentView().serving)
                fleet.promote();
            first.refresh();
            second.refresh();
            scheduler.runFor(Duration(2s));
            fleet.replicate(random() % 2 == 0 ? "q" : "r");
            first.refresh();
            second.refresh();
            if (response.outcome != Outcome::Ran)
                continue;
            token = response.sessionToken;
            replicaReads += response.servedByReplica ? 1 : 0;
            if (write)
                written = entry.codec.open(token, "shed", std::chrono::sys_seconds(1000s))
                              ->positionOf("g")
                              ->index;
            else
                RC_ASSERT(std::stoull(response.result) >= written);
        }
    };
    CHECK(rc::check("read your writes", check));
    CHECK(replicaReads > 0);
}

// Guards against unsynchronised shared state: runs the machine on four workers.
TEST_CASE("the machine runs on a worker pool")
{
    constexpr auto COUNT = 200;
    auto fleet = FakeFleet();
    auto pool = WorkerPool(4);
    auto entry = FakeEntryInstance(fleet, pool.executor(), 3);
    auto done = std::promise<void>();
    auto ran = std::atomic<int>(0);
    auto ended = std::atomic<int>(0);
    for (auto i = 0; i < COUNT; ++i) {
        const auto strand = std::make_shared<Strand>(pool.executor());
        const auto hooks = onStrand(strand, entry.hooks([&](const CallerResponse &response) {
            ran += response.outcome == Outcome::Ran ? 1 : 0;
            if (++ended == COUNT)
                done.set_value();
        }));
        auto request =
            entry.request(RequestKind::Statement, i % 2 == 0 ? AccessMode::Read : AccessMode::Write,
                          absl::StrCat("S", i));
        request.deadline += Duration(20s);
        strand->post([=, &entry] { RequestMachine::serve(request, hooks, entry.tables()); });
    }
    REQUIRE(done.get_future().wait_for(60s) == std::future_status::ready);
    pool.stop();
    CHECK(ran == COUNT);
    CHECK(entry.pool.stats("p").inUse == 0);
}

} // namespace auburnrail
