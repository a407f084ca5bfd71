#include <ServeRequest.h>

#include <catch2/catch.hpp>

namespace auburnrail {

namespace {

enum Column : std::uint8_t { Read, Write, KeyedWrite, Commit, Columns };

/// Outcome, reason and number of runs at endpoints (for a commit: of effects).
struct Expected
{
    Outcome outcome;
    ReasonCode reason;
    int runs;
};

struct Row
{
    std::string name;
    /// Called just before the request; may inject a fault into its first exchange.
    std::function<auto(FakeEntryInstance &, VirtualScheduler &)->void> arrange;
    std::array<Expected, Columns> expected;
};

constexpr auto RAN = Expected{Outcome::Ran, ReasonCode::Completed, 1};

auto all(Expected expected) -> std::array<Expected, Columns>
{
    return {expected, expected, expected, expected};
}

auto notRun(ReasonCode reason) -> Expected
{
    return {Outcome::NotRun, reason, 0};
}

auto unknown(ReasonCode reason, int runs) -> Expected
{
    return {Outcome::Unknown, reason, runs};
}

auto injectOnce(Fault fault)
{
    return [fault](FakeEntryInstance &entry, VirtualScheduler & /*scheduler*/) {
        entry.fleet.fault = [&entry, fault](const ConnectionHandle &, const EndpointRequest &) {
            entry.fleet.fault = {};
            return fault;
        };
    };
}

auto deny(ReasonCode reason)
{
    return [reason](FakeEntryInstance &entry, VirtualScheduler & /*scheduler*/) {
        entry.authorisation = reason;
    };
}

auto refusalRow(EndpointRefusal refusal, std::array<Expected, Columns> expected) -> Row
{
    return {std::string(nameOf(refusal)), injectOnce({FaultKind::Refusal, refusal}), expected};
}

/// A failover that takes 300 ms and begins now.
auto failOver(FakeEntryInstance &entry, VirtualScheduler &scheduler) -> void
{
    entry.fleet.fence();
    entry.refresh();
    scheduler.executor().postAfter(300ms, [&entry] {
        entry.fleet.promote();
        entry.refresh();
    });
}

auto failOverAfterMajority(FakeEntryInstance &entry, VirtualScheduler &scheduler) -> void
{
    entry.fleet.afterConfirm = [&entry, &scheduler] {
        entry.fleet.afterConfirm = {};
        failOver(entry, scheduler);
    };
}

auto rows() -> std::vector<Row>
{
    using enum ReasonCode;
    const auto aborted = notRun(TransactionAborted);
    const auto lost = [](FaultKind kind, ReasonCode reason, int runs) -> Row {
        return {std::string(nameOf(reason)) + (runs == 0 ? " unrun" : " run"),
                injectOnce({kind, EndpointRefusal::None}),
                {Expected{Outcome::Ran, Completed, runs + 1}, unknown(reason, runs),
                 Expected{Outcome::Ran, Completed, runs + 1}, unknown(reason, runs)}};
    };
    const auto moved = std::array<Expected, Columns>{RAN, RAN, RAN, aborted};
    return {
        {"no fault", [](auto &, auto &) {}, all(RAN)},
        {"no lease", [](auto &entry, auto &) { entry.lease = false; }, all(notRun(LeaseExpired))},
        {"key missing", deny(KeyMissing), all(notRun(KeyMissing))},
        {"key unknown", deny(KeyUnknown), all(notRun(KeyUnknown))},
        {"key withdrawn", deny(KeyWithdrawn), all(notRun(KeyWithdrawn))},
        {"route denied", deny(RouteDenied), all(notRun(RouteDenied))},
        {"rate limited",
         [](auto &entry, auto &) { entry.refusal = RequestRefusal{.reason = RateLimited}; },
         {notRun(RateLimited), notRun(RateLimited), notRun(RateLimited), RAN}},
        {"connection refused", injectOnce({FaultKind::Unsent, EndpointRefusal::None}), moved},
        lost(FaultKind::LostUnrun, ConnectionLost, 0),
        lost(FaultKind::LostRun, ConnectionLost, 1),
        lost(FaultKind::TimedOutRun, AnswerTimeout, 1),
        lost(FaultKind::TruncatedRun, AnswerTruncated, 1),
        lost(FaultKind::WrongIdRun, AnswerMismatched, 1),
        refusalRow(EndpointRefusal::WrongTerm, moved),
        refusalRow(EndpointRefusal::NotPrimary, moved),
        refusalRow(EndpointRefusal::Behind, moved),
        refusalRow(EndpointRefusal::Fenced, moved),
        refusalRow(EndpointRefusal::Busy, {RAN, RAN, RAN, notRun(EndpointOverloaded)}),
        refusalRow(EndpointRefusal::Leaving, moved),
        refusalRow(EndpointRefusal::NoTransaction, all(aborted)),
        refusalRow(EndpointRefusal::IdempotencyConflict,
                   {notRun(IdempotencyConflict), notRun(IdempotencyConflict),
                    notRun(IdempotencyConflict), aborted}),
        refusalRow(EndpointRefusal::BadStatement, all(notRun(StatementFailed))),
        {"failover before the exchange", failOver, moved},
        {"lease lost before the acknowledgement",
         [](auto &entry, auto &) {
             entry.fleet.beforeConfirm = [&entry] {
                 entry.lease = false;
             };
         },
         {RAN, unknown(LeaseExpired, 1), unknown(LeaseExpired, 1), unknown(LeaseExpired, 1)}},
        {"term replaced before the acknowledgement",
         [](auto &entry, auto &scheduler) {
             entry.fleet.beforeConfirm = [&entry, &scheduler] {
                 entry.fleet.beforeConfirm = {};
                 failOver(entry, scheduler);
             };
         },
         // The write never reached the new primary; the keyed one runs again there. The commit is
         // counted at the old primary, because the response precedes the promotion.
         {RAN, unknown(TermReplaced, 1), Expected{Outcome::Ran, Completed, 2},
          unknown(TermReplaced, 1)}},
        {"term replaced after the majority",
         failOverAfterMajority,
         // A majority has the write, so the keyed write is a duplicate at the new primary.
         {RAN, unknown(TermReplaced, 1), Expected{Outcome::Ran, Completed, 2},
          unknown(TermReplaced, 1)}},
        {"the same, and nothing is written in the new term",
         [](auto &entry, auto &scheduler) {
             entry.fleet.promotionEntry = false;
             failOverAfterMajority(entry, scheduler);
         },
         // Earlier entries survive failovers only if a majority has an entry of the current term.
         {RAN, unknown(TermReplaced, 1), unknown(ReplicationUnconfirmed, 2),
          unknown(TermReplaced, 1)}},
        {"replicas do not confirm",
         [](auto &entry, auto &) { entry.fleet.replicating = false; },
         {RAN, unknown(ReplicationUnconfirmed, 1), unknown(ReplicationUnconfirmed, 1),
          unknown(ReplicationUnconfirmed, 1)}},
    };
}

auto serveColumn(FakeEntryInstance &entry, VirtualScheduler &scheduler, const Row &row,
                 Column column) -> CallerResponse
{
    auto request = entry.request(RequestKind::Statement,
                                 column == Read ? AccessMode::Read : AccessMode::Write, "X");
    if (column == KeyedWrite)
        request.idempotencyKey = "once";
    if (column == Commit) {
        const auto begun =
            serve(entry, scheduler, entry.request(RequestKind::Begin, AccessMode::Write, ""));
        request.transaction = begun.transaction;
        REQUIRE(serve(entry, scheduler, request).outcome == Outcome::Ran);
        request.kind = RequestKind::Commit;
        request.statement.clear();
        request.deadline = scheduler.now() + 2s;
    }
    row.arrange(entry, scheduler);
    return serve(entry, scheduler, request);
}

} // namespace

// Guards isolated reads: without a lease, only replicas serve reads, only on open routes marked for
// it and only within a maximum staleness. A request that is still waiting when the lease returns
// must not skip the rate limit.
TEST_CASE("without a lease only marked open routes serve reads with a maximum staleness")
{
    struct Case
    {
        std::string name;
        bool openRoute;
        bool isolatedReads;
        std::optional<Duration> maxAge;
        AccessMode mode;
        Expected expected;
    };
    const auto expired = notRun(ReasonCode::LeaseExpired);
    const auto cases = std::vector<Case>{
        {"allowed", true, true, 1s, AccessMode::Read, RAN},
        {"too old", true, true, 1ms, AccessMode::Read, notRun(ReasonCode::NoFreshReplica)},
        {"no age", true, true, {}, AccessMode::Read, expired},
        {"write", true, true, 1s, AccessMode::Write, expired},
        {"not marked", true, false, 1s, AccessMode::Read, expired},
        {"not open", false, true, 1s, AccessMode::Read, expired},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        auto fleet = FakeFleet();
        auto scheduler = VirtualScheduler();
        scheduler.runFor(10s);
        auto entry = FakeEntryInstance(fleet, scheduler.executor(), 5);
        scheduler.runFor(100ms);
        entry.lease = false;
        entry.refusal = RequestRefusal{.reason = ReasonCode::RateLimited};
        entry.authorisation = CallerAuthorisation{.organisation = "public",
                                                  .openRoute = row.openRoute,
                                                  .isolatedReads = row.isolatedReads};
        auto request = entry.request(RequestKind::Statement, row.mode, "X");
        request.maxAge = row.maxAge;
        const auto response = serve(entry, scheduler, request);
        CHECK(nameOf(response.outcome) == nameOf(row.expected.outcome));
        CHECK(nameOf(response.reason) == nameOf(row.expected.reason));
        CHECK(fleet.runsOf("X") == row.expected.runs);
        CHECK(response.servedByReplica == (response.outcome == Outcome::Ran));
        // The lease returns while the request waits for its connection.
        if (response.outcome == Outcome::Ran) {
            entry.pool.removeEndpoint("q");
            entry.pool.removeEndpoint("r");
            request.deadline = scheduler.now() + 2s;
            entry.lease = false;
            scheduler.executor().postAfter(1ms, [&entry] { entry.lease = true; });
            CHECK(serve(entry, scheduler, request).reason == ReasonCode::RateLimited);
        }
    }
}

// Checks the reported outcome for each point of failure with each kind of request, both with hooks
// that call back later and with hooks that call back immediately.
TEST_CASE("every point of failure ends in the true outcome")
{
    for (const auto delay : {Duration(1ms), Duration(0)}) {
        for (const auto &row : rows()) {
            for (auto column = 0; column < Columns; ++column) {
                INFO(row.name << ", column " << column << ", delay " << delay.count());
                auto fleet = FakeFleet();
                auto scheduler = VirtualScheduler();
                scheduler.runFor(10s);
                auto entry = FakeEntryInstance(fleet, scheduler.executor(), 5, "e1", delay);
                const auto response =
                    serveColumn(entry, scheduler, row, static_cast<Column>(column));
                INFO(entry.trace);
                const auto &expected = row.expected[static_cast<std::size_t>(column)];
                CHECK(nameOf(response.outcome) == nameOf(expected.outcome));
                CHECK(nameOf(response.reason) == nameOf(expected.reason));
                CHECK((column == Commit ? fleet.effectsOf("X") : fleet.runsOf("X"))
                      == expected.runs);
                if (column == KeyedWrite && response.outcome == Outcome::Ran)
                    CHECK(fleet.effectsOf("X") == 1);
                // No connection stays in use, so none leaks on any path.
                if (entry.transactions.size() == 0)
                    CHECK(entry.pool.stats("p").inUse + entry.pool.stats("q").inUse == 0);
            }
        }
    }
}

} // namespace auburnrail
