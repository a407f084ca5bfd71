#include "FakeServers.h"

#include <proxy/StatementRun.h>

#include <catch2/catch.hpp>

namespace auburnrail {

namespace {

using testing::FakeServers;
using namespace std::chrono_literals;

auto orderFor(StatementKind kind, const FakeServers &servers) -> StatementOrder
{
    auto order = StatementOrder();
    order.statement = ClientStatement{.id = "s1", .kind = kind, .text = "READ a"};
    if (kind == StatementKind::Write)
        order.statement.text = "WRITE a 1";
    if (kind == StatementKind::Commit)
        order.statement.text = "COMMIT";
    order.policy.consistency = ReadConsistency::BoundedStaleness;
    order.policy.statementTimeout = 1s;
    order.group = "g";
    order.organisation = "o";
    order.arrivedAt = servers.scheduler.now();
    return order;
}

auto runToEnd(FakeServers &servers, const StatementOrder &order,
              const ServerLinkPointer &link = nullptr) -> std::optional<StatementResult>
{
    auto result = std::optional<StatementResult>();
    const auto run = std::make_shared<StatementRun>(
        servers.hooks(), order, [&result](StatementResult ended) { result = std::move(ended); });
    if (link == nullptr)
        run->start();
    else
        run->startInTransaction(link);
    servers.scheduler.runFor(5s);
    return result;
}

auto errorOf(const std::optional<StatementResult> &result) -> std::optional<StatementError>
{
    REQUIRE(result);
    const auto &failure = result->answer.failure;
    return failure ? std::optional(failure->error) : std::nullopt;
}

} // namespace

TEST_CASE("a read goes to a replica with the position that it needs")
{
    auto servers = FakeServers();
    const auto result = runToEnd(servers, orderFor(StatementKind::Read, servers));
    CHECK_FALSE(errorOf(result));
    CHECK(result->answer.signature == "signed-s1");
    REQUIRE(servers.sent.size() == 1);
    CHECK(servers.sent[0].minimumPosition == Position{1, 7});
    CHECK(servers.released == std::vector<std::pair<std::string, bool>>{{"replica", true}});
}

// Guards against writes that take effect twice, and against promises that are not true: whatever
// may have run is never sent again and never called "not run".
TEST_CASE("what comes of a statement follows from whether it may have run")
{
    struct Case
    {
        std::string name;
        StatementKind kind;
        ServerOutcome first;
        std::optional<StatementError> error; ///< Nothing: success at another attempt.
        std::size_t sent;
    };
    const auto cases = std::vector<Case>{
        {"a lost read is repeated", StatementKind::Read, FakeServers::lost(), std::nullopt, 2},
        {"a lost write is in doubt", StatementKind::Write, FakeServers::lost(),
         StatementError::InDoubt, 1},
        {"a write that was not sent is repeated", StatementKind::Write,
         ServerOutcome{.phase = ServerPhase::NotSent}, std::nullopt, 2},
        {"a write without an answer in time is in doubt", StatementKind::Write,
         ServerOutcome{.phase = ServerPhase::TimedOut}, StatementError::InDoubt, 1},
        {"a read without an answer in time is not repeated", StatementKind::Read,
         ServerOutcome{.phase = ServerPhase::TimedOut}, StatementError::Timeout, 1},
        {"a full server is asked again", StatementKind::Write,
         FakeServers::refused(StatementError::Busy), std::nullopt, 2},
        {"a replaced primary is left", StatementKind::Write,
         FakeServers::refused(StatementError::ReadOnly), std::nullopt, 2},
        {"a write that ran and failed is not repeated", StatementKind::Write,
         FakeServers::refused(StatementError::Failed), StatementError::Failed, 1},
        {"an unknown error may have run", StatementKind::Write,
         FakeServers::refused(StatementError::Unknown), StatementError::Unknown, 1},
    };
    for (const auto &[name, kind, first, error, sent] : cases) {
        INFO(name);
        auto servers = FakeServers();
        servers.script(ServerOperation::Forward, first);
        CHECK(errorOf(runToEnd(servers, orderFor(kind, servers))) == error);
        CHECK(servers.count(ServerOperation::Forward) == sent);
    }
}

TEST_CASE("a read that found a replica behind goes to the primary at once")
{
    auto servers = FakeServers();
    servers.script(ServerOperation::Forward, FakeServers::refused(StatementError::Lagging));
    const auto before = servers.scheduler.now();
    const auto result = runToEnd(servers, orderFor(StatementKind::Read, servers));
    CHECK_FALSE(errorOf(result));
    CHECK(result->endpoint == "primary");
    CHECK(servers.sent.back().minimumPosition == std::nullopt);
    CHECK(servers.scheduler.now() - before <= 5s);
}

// Guards against an entry that was cut off and sends statements to a primary that was replaced.
TEST_CASE("nothing is sent without a lease")
{
    auto servers = FakeServers();
    servers.leased = false;
    CHECK(errorOf(runToEnd(servers, orderFor(StatementKind::Write, servers)))
          == StatementError::Busy);
    CHECK(servers.sent.empty());
}

// Guards against refusals while control has no leader for a moment.
TEST_CASE("a statement waits for a lease that is expected")
{
    auto servers = FakeServers();
    servers.leased = false;
    servers.leaseExpected = true;
    servers.scheduler.executor().postAfter(100ms, [&servers] { servers.grantLease(); });
    CHECK_FALSE(errorOf(runToEnd(servers, orderFor(StatementKind::Read, servers))));
}

TEST_CASE("a statement waits out a failover, but not beyond its timeout")
{
    auto servers = FakeServers();
    servers.unplaceable = 3;
    CHECK_FALSE(errorOf(runToEnd(servers, orderFor(StatementKind::Write, servers))));
    servers.unplaceable = 100000;
    const auto order = orderFor(StatementKind::Write, servers);
    CHECK(errorOf(runToEnd(servers, order)) == StatementError::Busy);
}

// Guards against writes in doubt: one that is sent with little time left can't be repeated.
TEST_CASE("a write with little time left is refused as not run")
{
    auto servers = FakeServers();
    auto order = orderFor(StatementKind::Write, servers);
    order.policy.statementTimeout = 200ms;
    CHECK(errorOf(runToEnd(servers, order)) == StatementError::Busy);
    CHECK(servers.sent.empty());
    order = orderFor(StatementKind::Read, servers);
    order.policy.statementTimeout = 200ms;
    CHECK_FALSE(errorOf(runToEnd(servers, order)));
}

TEST_CASE("a connection is brought to the session before the statement")
{
    auto servers = FakeServers();
    auto order = orderFor(StatementKind::Execute, servers);
    order.values = {{"zone", "a"}};
    order.prepared = PreparedStatement{.shape = "q1", .writes = true};
    order.statement.value = "item data";
    CHECK_FALSE(errorOf(runToEnd(servers, order)));
    REQUIRE(servers.sent.size() == 3);
    CHECK(servers.sent[0].operation == ServerOperation::SetValue);
    CHECK(servers.sent[1].operation == ServerOperation::Prepare);
    CHECK(servers.sent[2].operation == ServerOperation::Execute);
    CHECK(servers.sent[2].value == "item data");
    CHECK(servers.sent[2].id == "s1");
}

// Guards against a refusal that can't be explained: nothing was tried.
TEST_CASE("a statement that was admitted too late says so")
{
    auto servers = FakeServers();
    auto order = orderFor(StatementKind::Read, servers);
    order.arrivedAt -= order.policy.statementTimeout;
    const auto result = runToEnd(servers, order);
    REQUIRE(errorOf(result) == StatementError::Busy);
    CHECK(result->answer.failure->detail == "not run in time: the admission took too long");
}

TEST_CASE("a transaction keeps its connection until it ends")
{
    auto servers = FakeServers();
    auto order = orderFor(StatementKind::Read, servers);
    order.opens = TransactionAccess::ReadWrite;
    const auto opened = runToEnd(servers, order);
    CHECK_FALSE(errorOf(opened));
    REQUIRE(opened->link != nullptr);
    CHECK(servers.released.empty());
    const auto ended = runToEnd(servers, orderFor(StatementKind::Commit, servers), opened->link);
    CHECK_FALSE(errorOf(ended));
    // Logs have to name the server of each statement of a transaction.
    CHECK(ended->endpoint == "primary");
    CHECK(ended->attempts == 1);
    CHECK(ended->link == nullptr);
    CHECK(servers.released.size() == 1);
}

// Guards against a commit that took effect and is called rolled back.
TEST_CASE("a lost connection in a transaction")
{
    struct Case
    {
        StatementKind kind;
        bool wrote;
        StatementError error;
    };
    for (const auto &[kind, wrote, error] :
         {Case{StatementKind::Read, true, StatementError::Aborted},
          Case{StatementKind::Write, true, StatementError::Aborted},
          Case{StatementKind::Commit, true, StatementError::InDoubt},
          Case{StatementKind::Commit, false, StatementError::Aborted}}) {
        INFO(nameOf(kind) << ", wrote: " << wrote);
        auto servers = FakeServers();
        auto first = orderFor(StatementKind::Read, servers);
        first.opens = TransactionAccess::ReadWrite;
        const auto opened = runToEnd(servers, first);
        REQUIRE(opened->link != nullptr);
        auto order = orderFor(kind, servers);
        order.transactionWrote = wrote;
        servers.script(ServerOperation::Forward, FakeServers::lost());
        CHECK(errorOf(runToEnd(servers, order, opened->link)) == error);
        CHECK(servers.released == std::vector<std::pair<std::string, bool>>{{"primary", false}});
    }
}

TEST_CASE("a transaction that could not be begun begins elsewhere")
{
    auto servers = FakeServers();
    auto order = orderFor(StatementKind::Read, servers);
    order.opens = TransactionAccess::ReadOnly;
    servers.script(ServerOperation::BeginReadOnly, FakeServers::refused(StatementError::Lagging));
    const auto result = runToEnd(servers, order);
    CHECK_FALSE(errorOf(result));
    CHECK(result->endpoint == "primary");
    CHECK(servers.count(ServerOperation::BeginReadOnly) == 2);
}

} // namespace auburnrail
