#include "FakeServers.h"

#include <proxy/StatementRun.h>

#include <catch2/catch.hpp>

namespace auburnrail {

namespace {

using testing::FakeServers;
using namespace std::chrono_literals;

auto requestFor(StatementKind kind, const FakeServers &servers) -> StatementRequest
{
    auto request = StatementRequest();
    request.statement = ClientStatement{.id = "s1", .kind = kind, .text = "READ a"};
    if (kind == StatementKind::Write)
        request.statement.text = "WRITE a 1";
    if (kind == StatementKind::Commit)
        request.statement.text = "COMMIT";
    request.policy.consistency = ReadConsistency::BoundedStaleness;
    request.policy.statementTimeout = 1s;
    request.group = "g";
    request.organisation = "o";
    request.arrivedAt = servers.scheduler.now();
    return request;
}

auto runToEnd(FakeServers &servers, const StatementRequest &request,
              const PooledConnectionPointer &connection = nullptr) -> std::optional<StatementResult>
{
    auto result = std::optional<StatementResult>();
    const auto run = std::make_shared<StatementRun>(
        servers.hooks(), request, [&result](StatementResult ended) { result = std::move(ended); });
    if (connection == nullptr)
        run->start();
    else
        run->startInTransaction(connection);
    servers.scheduler.runFor(5s);
    return result;
}

auto errorOf(const std::optional<StatementResult> &result) -> std::optional<StatementError>
{
    REQUIRE(result);
    const auto &failure = result->response.failure;
    return failure ? std::optional(failure->error) : std::nullopt;
}

auto openTransaction(FakeServers &servers) -> PooledConnectionPointer
{
    auto first = requestFor(StatementKind::Read, servers);
    first.opens = TransactionAccess::ReadWrite;
    const auto opened = runToEnd(servers, first);
    REQUIRE(opened);
    REQUIRE(opened->connection != nullptr);
    return opened->connection;
}

} // namespace

TEST_CASE("a read goes to a replica with the required position")
{
    auto servers = FakeServers();
    const auto result = runToEnd(servers, requestFor(StatementKind::Read, servers));
    CHECK_FALSE(errorOf(result));
    CHECK(result->response.signature == "signed-s1");
    REQUIRE(servers.sent.size() == 1);
    CHECK(servers.sent[0].minimumPosition == Position{1, 7});
    CHECK(servers.released == std::vector<std::pair<std::string, bool>>{{"replica", true}});
}

// Guards against an overload that a primary can't leave: each refusal closed the connection, and
// opening another one took a slot of the primary.
TEST_CASE("a statement that a busy primary refused is repeated on its connection")
{
    auto servers = FakeServers();
    servers.script(ServerOperation::Forward, FakeServers::refused(StatementError::Busy));
    servers.script(ServerOperation::Forward, FakeServers::refused(StatementError::Busy));
    const auto result = runToEnd(servers, requestFor(StatementKind::Write, servers));
    CHECK_FALSE(errorOf(result));
    CHECK(servers.sent.size() == 3);
    CHECK(servers.placements.size() == 3);
    CHECK(servers.released == std::vector<std::pair<std::string, bool>>{{"primary", true}});
}

TEST_CASE("a transaction that a busy primary lets begin is not begun again")
{
    auto servers = FakeServers();
    servers.script(ServerOperation::Forward,
                   FakeServers::refused(StatementError::Busy, SessionState::InTransaction));
    auto request = requestFor(StatementKind::Write, servers);
    request.opens = TransactionAccess::ReadWrite;
    const auto result = runToEnd(servers, request);
    CHECK_FALSE(errorOf(result));
    CHECK(servers.count(ServerOperation::Begin) == 1);
    CHECK(servers.count(ServerOperation::Forward) == 2);
    CHECK(servers.released.empty());
}

// Guards against a caller that waits although its statement can't be served in time.
TEST_CASE("a statement that can't get a connection of its primary in time is refused at once")
{
    auto servers = FakeServers();
    servers.leaseStatus = absl::DeadlineExceededError("a new connection would be too late");
    const auto result = runToEnd(servers, requestFor(StatementKind::Write, servers));
    CHECK(errorOf(result) == StatementError::Busy);
    CHECK(servers.placements.size() == 1);
    CHECK(servers.sent.empty());
}

// Guards against a statement that reaches a primary after its replacement.
TEST_CASE("a statement is not repeated on a connection of an earlier term")
{
    auto servers = FakeServers();
    servers.script(ServerOperation::Forward, FakeServers::refused(StatementError::Busy));
    servers.scheduler.executor().postAfter(5ms, [&servers] { servers.term = 2; });
    const auto result = runToEnd(servers, requestFor(StatementKind::Write, servers));
    CHECK_FALSE(errorOf(result));
    CHECK(servers.sent.size() == 2);
    CHECK(servers.released.size() == 2);
}

// Guards against writes that take effect twice and against wrong reports: a statement that may have
// run is never sent again and never reported as "not run".
TEST_CASE("a statement is repeated only if it can't have run and changed data")
{
    struct Case
    {
        std::string name;
        StatementKind kind;
        ServerOutcome first;
        std::optional<StatementError> error; ///< std::nullopt: success at another attempt.
        std::size_t sent;
    };
    const auto cases = std::vector<Case>{
        {"a lost read is repeated", StatementKind::Read, FakeServers::lost(), std::nullopt, 2},
        {"a lost write is in doubt", StatementKind::Write, FakeServers::lost(),
         StatementError::InDoubt, 1},
        {"a write that was not sent is repeated", StatementKind::Write,
         ServerOutcome{.phase = ServerPhase::NotSent}, std::nullopt, 2},
        {"a write without a response in time is in doubt", StatementKind::Write,
         ServerOutcome{.phase = ServerPhase::TimedOut}, StatementError::InDoubt, 1},
        {"a read without a response in time is not repeated", StatementKind::Read,
         ServerOutcome{.phase = ServerPhase::TimedOut}, StatementError::Timeout, 1},
        {"a statement is repeated after a busy server refused it", StatementKind::Write,
         FakeServers::refused(StatementError::Busy), std::nullopt, 2},
        {"a write is repeated after a replaced primary refused it", StatementKind::Write,
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
        CHECK(errorOf(runToEnd(servers, requestFor(kind, servers))) == error);
        CHECK(servers.count(ServerOperation::Forward) == sent);
    }
}

TEST_CASE("a read refused by a lagging replica goes to the primary at once")
{
    auto servers = FakeServers();
    servers.script(ServerOperation::Forward, FakeServers::refused(StatementError::Lagging));
    const auto before = servers.scheduler.now();
    const auto result = runToEnd(servers, requestFor(StatementKind::Read, servers));
    CHECK_FALSE(errorOf(result));
    CHECK(result->endpoint == "primary");
    CHECK(servers.sent.back().minimumPosition == std::nullopt);
    CHECK(servers.scheduler.now() - before <= 5s);
}

// Guards against an entry that is cut off from control and sends statements to a primary that has
// been replaced.
TEST_CASE("nothing is sent without a lease")
{
    auto servers = FakeServers();
    servers.leased = false;
    CHECK(errorOf(runToEnd(servers, requestFor(StatementKind::Write, servers)))
          == StatementError::Busy);
    CHECK(servers.sent.empty());
}

// Guards against refusals while control has no leader for a short time.
TEST_CASE("a statement waits for a lease that is expected")
{
    auto servers = FakeServers();
    servers.leased = false;
    servers.leaseExpected = true;
    servers.scheduler.executor().postAfter(100ms, [&servers] { servers.grantLease(); });
    CHECK_FALSE(errorOf(runToEnd(servers, requestFor(StatementKind::Read, servers))));
}

TEST_CASE("a statement waits for the end of a failover, but not beyond its timeout")
{
    auto servers = FakeServers();
    servers.unplaceable = 3;
    CHECK_FALSE(errorOf(runToEnd(servers, requestFor(StatementKind::Write, servers))));
    servers.unplaceable = 100000;
    const auto request = requestFor(StatementKind::Write, servers);
    CHECK(errorOf(runToEnd(servers, request)) == StatementError::Busy);
}

// Guards against writes in doubt: a write that is sent with little time left may time out, and then
// its client can't repeat it.
TEST_CASE("a write with little time left is refused as not run")
{
    auto servers = FakeServers();
    auto request = requestFor(StatementKind::Write, servers);
    request.policy.statementTimeout = 200ms;
    CHECK(errorOf(runToEnd(servers, request)) == StatementError::Busy);
    CHECK(servers.sent.empty());
    request = requestFor(StatementKind::Read, servers);
    request.policy.statementTimeout = 200ms;
    CHECK_FALSE(errorOf(runToEnd(servers, request)));
}

TEST_CASE("a connection gets the session's values and prepared statement before the statement")
{
    auto servers = FakeServers();
    auto request = requestFor(StatementKind::Execute, servers);
    request.values = {{"zone", "a"}};
    request.prepared = PreparedStatement{.shape = "q1", .writes = true};
    request.statement.value = "item data";
    CHECK_FALSE(errorOf(runToEnd(servers, request)));
    REQUIRE(servers.sent.size() == 3);
    CHECK(servers.sent[0].operation == ServerOperation::SetValue);
    CHECK(servers.sent[1].operation == ServerOperation::Prepare);
    CHECK(servers.sent[2].operation == ServerOperation::Execute);
    CHECK(servers.sent[2].value == "item data");
    CHECK(servers.sent[2].id == "s1");
}

// Guards against a refusal without a reason when no server was tried.
TEST_CASE("the refusal of a statement that was admitted too late names the reason")
{
    auto servers = FakeServers();
    auto request = requestFor(StatementKind::Read, servers);
    request.arrivedAt -= request.policy.statementTimeout;
    const auto result = runToEnd(servers, request);
    REQUIRE(errorOf(result) == StatementError::Busy);
    CHECK(result->response.failure->detail == "not run in time: the admission took too long");
}

TEST_CASE("a transaction keeps its connection until it ends")
{
    auto servers = FakeServers();
    auto request = requestFor(StatementKind::Read, servers);
    request.opens = TransactionAccess::ReadWrite;
    const auto opened = runToEnd(servers, request);
    CHECK_FALSE(errorOf(opened));
    REQUIRE(opened->connection != nullptr);
    CHECK(servers.released.empty());
    const auto ended =
        runToEnd(servers, requestFor(StatementKind::Commit, servers), opened->connection);
    CHECK_FALSE(errorOf(ended));
    // Logs have to name the server of each statement of a transaction.
    CHECK(ended->endpoint == "primary");
    CHECK(ended->attempts == 1);
    CHECK(ended->connection == nullptr);
    CHECK(servers.released.size() == 1);
}

// Guards against a commit that took effect but is reported as rolled back.
TEST_CASE("a connection lost in a transaction aborts it, or leaves its commit in doubt")
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
        auto first = requestFor(StatementKind::Read, servers);
        first.opens = TransactionAccess::ReadWrite;
        const auto opened = runToEnd(servers, first);
        REQUIRE(opened->connection != nullptr);
        auto request = requestFor(kind, servers);
        request.transactionWrote = wrote;
        servers.script(ServerOperation::Forward, FakeServers::lost());
        CHECK(errorOf(runToEnd(servers, request, opened->connection)) == error);
        CHECK(servers.released == std::vector<std::pair<std::string, bool>>{{"primary", false}});
    }
}

// Guards against commits that are lost in a failover: control promotes a replica once every entry
// has confirmed the new term, and a commit that the old primary acknowledges later may be on no
// replica.
TEST_CASE("a change in an open transaction is not sent after the term has ended")
{
    struct Case
    {
        StatementKind kind;
        bool wrote;
        std::optional<StatementError> error;
    };
    for (const auto &[kind, wrote, error] :
         {Case{StatementKind::Commit, true, StatementError::Aborted},
          Case{StatementKind::Write, false, StatementError::Aborted},
          Case{StatementKind::Commit, false, std::nullopt},
          Case{StatementKind::Read, true, std::nullopt}}) {
        INFO(nameOf(kind) << ", wrote: " << wrote);
        auto servers = FakeServers();
        const auto connection = openTransaction(servers);
        servers.term = 2;
        const auto sentBefore = servers.sent.size();
        auto request = requestFor(kind, servers);
        request.transactionWrote = wrote;
        CHECK(errorOf(runToEnd(servers, request, connection)) == error);
        CHECK(servers.sent.size() == sentBefore + (error ? 0 : 1));
        if (error)
            CHECK(servers.released
                  == std::vector<std::pair<std::string, bool>>{{"primary", false}});
    }
}

// The same for an entry that is cut off from control and doesn't learn of the new term.
TEST_CASE("a commit in an open transaction waits for a lease and is not sent without one")
{
    for (const auto isExpected : {true, false}) {
        auto servers = FakeServers();
        const auto connection = openTransaction(servers);
        servers.leased = false;
        servers.leaseExpected = isExpected;
        servers.scheduler.executor().postAfter(100ms, [&servers] { servers.grantLease(); });
        const auto sentBefore = servers.sent.size();
        auto request = requestFor(StatementKind::Commit, servers);
        request.transactionWrote = true;
        const auto error = errorOf(runToEnd(servers, request, connection));
        CHECK(error == (isExpected ? std::nullopt : std::optional(StatementError::Aborted)));
        CHECK(servers.sent.size() == sentBefore + (isExpected ? 1 : 0));
    }
}

// Control waits for this time after the entries have confirmed a new term.
TEST_CASE("a commit under way is acknowledged for a short time after the term has ended")
{
    for (const auto requestTime : {140ms, 160ms}) {
        auto servers = FakeServers();
        const auto connection = openTransaction(servers);
        servers.requestTime = requestTime;
        auto request = requestFor(StatementKind::Commit, servers);
        request.transactionWrote = true;
        servers.scheduler.executor().postAfter(5ms, [&servers] { servers.term = 2; });
        const auto error = errorOf(runToEnd(servers, request, connection));
        CHECK(error
              == (requestTime < 150ms ? std::nullopt : std::optional(StatementError::InDoubt)));
    }
}

TEST_CASE("a write whose primary is replaced while it is prepared goes to the next primary")
{
    auto servers = FakeServers();
    auto request = requestFor(StatementKind::Write, servers);
    request.values = {{"zone", "a"}};
    servers.requestTime = 10ms;
    servers.scheduler.executor().postAfter(5ms, [&servers] { servers.term = 2; });
    CHECK_FALSE(errorOf(runToEnd(servers, request)));
    CHECK(servers.count(ServerOperation::Forward) == 1);
    CHECK(servers.released.size() == 2);
}

TEST_CASE("a transaction that a server refused to begin is begun on another server")
{
    auto servers = FakeServers();
    auto request = requestFor(StatementKind::Read, servers);
    request.opens = TransactionAccess::ReadOnly;
    servers.script(ServerOperation::BeginReadOnly, FakeServers::refused(StatementError::Lagging));
    const auto result = runToEnd(servers, request);
    CHECK_FALSE(errorOf(result));
    CHECK(result->endpoint == "primary");
    CHECK(servers.count(ServerOperation::BeginReadOnly) == 2);
}

} // namespace auburnrail
