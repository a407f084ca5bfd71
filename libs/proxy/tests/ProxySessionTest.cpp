#include "ProxySessionFixture.h"

namespace auburnrail {

using namespace std::chrono_literals;
using testing::errorOf;
using testing::FakeServers;
using testing::KEY;
using testing::makeState;
using testing::SECRET;
using testing::SessionFixture;

TEST_CASE("a session is refused without its database or a valid key")
{
    struct Case
    {
        std::string database;
        std::string key;
        std::optional<StatementError> error;
    };
    for (const auto &[database, key, error] :
         {Case{"db", KEY, std::nullopt}, Case{"gone", KEY, StatementError::UnknownDatabase},
          Case{"db", "wrong", StatementError::Unauthorised},
          Case{"db", "", StatementError::Unauthorised}}) {
        INFO(database << " " << key);
        auto fixture = SessionFixture();
        fixture.session->open({.database = database, .key = key});
        CHECK(fixture.opened == !error.has_value());
        CHECK(fixture.closed == error.has_value());
        if (error)
            CHECK(fixture.refusals.at(0).error == *error);
    }
}

// Guards against "unknown database" from an entry that has just started and has no state yet.
TEST_CASE("an entry without a lease does not refuse databases and keys as unknown")
{
    auto fixture = SessionFixture();
    fixture.servers.leased = false;
    fixture.objects = FleetObjects();
    fixture.open();
    fixture.servers.scheduler.runFor(10ms);
    CHECK(fixture.refusals.at(0).error == StatementError::Busy);
    CHECK(fixture.closed);
}

// Guards against refusals between the restart of an entry and its first lease, about a second
// later.
TEST_CASE("opening a session before the first lease waits for the lease")
{
    auto fixture = SessionFixture();
    fixture.servers.leased = false;
    fixture.servers.leaseExpected = true;
    const auto known = std::exchange(fixture.objects, FleetObjects());
    fixture.open();
    CHECK_FALSE(fixture.opened);
    CHECK(fixture.refusals.empty());
    fixture.objects = known;
    fixture.servers.grantLease();
    fixture.servers.scheduler.runFor(10ms);
    CHECK(fixture.opened);
    CHECK_FALSE(errorOf(fixture.ask(StatementKind::Read)));
}

// Guards against open sessions that keep working with a withdrawn key or a removed route.
TEST_CASE("each operation is checked against the current state")
{
    auto fixture = SessionFixture();
    fixture.open();
    CHECK_FALSE(errorOf(fixture.ask(StatementKind::Read)));
    CHECK(fixture.admissions == 1);
    fixture.objects.erase(ObjectKind::Key, documentKeyId(KEY, SECRET));
    CHECK(errorOf(fixture.ask(StatementKind::Read)) == StatementError::Unauthorised);
    fixture.objects = makeState();
    fixture.objects.erase(ObjectKind::Route, "r");
    CHECK(errorOf(fixture.ask(StatementKind::Read)) == StatementError::UnknownDatabase);
    CHECK(fixture.servers.count(ServerOperation::Forward) == 1);
}

// Guards against an open transaction that goes on, and commits, after its key was withdrawn.
TEST_CASE("an open transaction ends with its key")
{
    auto fixture = SessionFixture();
    fixture.open();
    std::ignore = fixture.ask(StatementKind::Begin);
    REQUIRE_FALSE(errorOf(fixture.ask(StatementKind::Write)));
    const auto sent = fixture.servers.count(ServerOperation::Forward);
    SECTION("withdrawn")
    {
        fixture.objects.erase(ObjectKind::Key, documentKeyId(KEY, SECRET));
    }
    SECTION("given to another organisation")
    {
        auto key = *fixture.objects.find<Key>(documentKeyId(KEY, SECRET));
        key.organisation = "p";
        fixture.objects.put(Organisation{.name = "p", .labels = {{"l", "1"}}});
        fixture.objects.put(key);
    }
    const auto isCommit = GENERATE(false, true);
    const auto response = fixture.ask(isCommit ? StatementKind::Commit : StatementKind::Write);
    CHECK(errorOf(response) == StatementError::Unauthorised);
    CHECK(response.state == (isCommit ? SessionState::Idle : SessionState::Failed));
    CHECK(fixture.rolledBack == std::vector<std::string>{"primary"});
    CHECK(fixture.servers.count(ServerOperation::Forward) == sent);
}

TEST_CASE(
    "an open transaction goes on after its route has changed, and without a key on an open route")
{
    auto fixture = SessionFixture();
    const auto isOpen = GENERATE(false, true);
    auto route = *fixture.objects.find<Route>("r");
    route.open = isOpen;
    fixture.objects.put(route);
    fixture.open();
    std::ignore = fixture.ask(StatementKind::Begin);
    fixture.objects.erase(ObjectKind::Route, "r");
    if (isOpen)
        fixture.objects.erase(ObjectKind::Key, documentKeyId(KEY, SECRET));
    CHECK_FALSE(errorOf(fixture.ask(StatementKind::Write)));
    CHECK_FALSE(errorOf(fixture.ask(StatementKind::Commit)));
}

TEST_CASE("a statement over the organisation's rate is refused as not run")
{
    auto fixture = SessionFixture();
    fixture.open();
    fixture.refusal = RequestRefusal{.reason = ReasonCode::RateLimited};
    CHECK(errorOf(fixture.ask(StatementKind::Write)) == StatementError::Busy);
    CHECK(errorOf(fixture.ask(StatementKind::Begin)) == StatementError::Busy);
    CHECK(fixture.responses.back().state == SessionState::Idle);
    CHECK(fixture.servers.sent.empty());
}

TEST_CASE("values and prepared statements are kept in the session")
{
    auto fixture = SessionFixture();
    fixture.open();
    CHECK_FALSE(errorOf(
        fixture.ask(ClientStatement{.kind = StatementKind::SetValue, .name = "v", .value = "1"})));
    CHECK_FALSE(errorOf(
        fixture.ask(ClientStatement{.kind = StatementKind::Prepare, .name = "p", .shape = "q"})));
    CHECK(fixture.servers.sent.empty());
    CHECK(fixture.responses.back().signature.empty());
    CHECK_FALSE(errorOf(fixture.ask(
        ClientStatement{.kind = StatementKind::Execute, .name = "p", .value = "item"})));
    REQUIRE(fixture.servers.sent.size() == 3);
    const auto &prepared = fixture.servers.sent[1];
    CHECK(prepared.operation == ServerOperation::Prepare);
    CHECK(prepared.value == "q");
    CHECK(prepared.name == "p1");
    CHECK(fixture.servers.sent.back().operation == ServerOperation::Execute);
    CHECK(fixture.servers.sent.back().name == prepared.name);
    CHECK_FALSE(
        errorOf(fixture.ask(ClientStatement{.kind = StatementKind::Deallocate, .name = "p"})));
    CHECK(errorOf(fixture.ask(ClientStatement{.kind = StatementKind::Execute, .name = "p"}))
          == StatementError::UnknownStatement);
    CHECK(errorOf(fixture.ask(ClientStatement{.kind = StatementKind::Deallocate, .name = "p"}))
          == StatementError::UnknownStatement);
}

// Guards against a client that fills an entry's memory with values or prepared statements.
TEST_CASE("what a session may keep is bounded by bytes")
{
    auto fixture = SessionFixture();
    fixture.open();
    const auto keep = [&fixture](StatementKind kind, const std::string &name, std::size_t bytes) {
        const auto text = std::string(bytes, 'x');
        return errorOf(
            fixture.ask(ClientStatement{.kind = kind, .name = name, .value = text, .shape = text}));
    };
    constexpr auto HALF = ProxySession::MAX_STATE_BYTES / 2 - 1;
    CHECK_FALSE(keep(StatementKind::SetValue, "a", HALF));
    CHECK_FALSE(keep(StatementKind::Prepare, "a", HALF));
    CHECK(keep(StatementKind::SetValue, "b", 1) == StatementError::Malformed);
    CHECK(keep(StatementKind::Prepare, "b", 1) == StatementError::Malformed);
    // What is replaced or dropped makes room.
    CHECK_FALSE(keep(StatementKind::SetValue, "a", 1));
    CHECK_FALSE(keep(StatementKind::SetValue, "b", HALF - 3));
    CHECK_FALSE(
        errorOf(fixture.ask(ClientStatement{.kind = StatementKind::Deallocate, .name = "a"})));
    CHECK_FALSE(keep(StatementKind::Prepare, "b", HALF));
}

// Guards against "malformed" in the place of the response to a write that ran.
TEST_CASE("input that can't be decoded is refused after the statements before it were answered")
{
    auto fixture = SessionFixture();
    fixture.open();
    fixture.session->enqueue(ClientStatement{.id = "1", .kind = StatementKind::Write, .text = "W"});
    fixture.session->enqueue(ClientStatement{.id = "2", .kind = StatementKind::Write, .text = "W"});
    fixture.session->refuseInput("no message");
    fixture.session->enqueue(ClientStatement{.id = "3", .kind = StatementKind::Write, .text = "W"});
    fixture.session->clientFinished();
    CHECK(fixture.refusals.empty());
    fixture.servers.scheduler.runFor(2s);
    REQUIRE(fixture.responses.size() == 2);
    CHECK(fixture.responses[0].signature == "signed-1");
    CHECK(fixture.responses[1].signature == "signed-2");
    REQUIRE(fixture.refusals.size() == 1);
    CHECK(fixture.refusals[0].error == StatementError::Malformed);
    CHECK(fixture.closed);
    CHECK(fixture.servers.count(ServerOperation::Forward) == 2);
}

TEST_CASE("a transaction is one operation on one connection")
{
    auto fixture = SessionFixture();
    fixture.open();
    CHECK(fixture.ask(StatementKind::Begin).state == SessionState::InTransaction);
    CHECK(fixture.ask(StatementKind::Read).state == SessionState::InTransaction);
    CHECK(fixture.ask(StatementKind::Write).state == SessionState::InTransaction);
    const auto committed = fixture.ask(StatementKind::Commit);
    CHECK_FALSE(errorOf(committed));
    CHECK(committed.state == SessionState::Idle);
    CHECK_FALSE(committed.signature.empty());
    CHECK(fixture.admissions == 1);
    CHECK(fixture.servers.count(ServerOperation::Begin) == 1);
    CHECK(fixture.servers.sent.front().id == "s1");
    CHECK(fixture.servers.released.size() == 1);
}

TEST_CASE("a failed transaction accepts only its end, and is rolled back on the server")
{
    auto fixture = SessionFixture();
    fixture.open();
    std::ignore = fixture.ask(StatementKind::Begin);
    std::ignore = fixture.ask(StatementKind::Read);
    fixture.servers.script(ServerOperation::Forward,
                           FakeServers::refused(StatementError::Failed, SessionState::Failed));
    CHECK(fixture.ask(StatementKind::Write).state == SessionState::Failed);
    CHECK(fixture.rolledBack == std::vector<std::string>{"primary"});
    CHECK(errorOf(fixture.ask(StatementKind::Read)) == StatementError::Malformed);
    const auto end = fixture.ask(StatementKind::Commit);
    CHECK(errorOf(end) == StatementError::Aborted);
    CHECK(end.state == SessionState::Idle);
    CHECK_FALSE(errorOf(fixture.ask(StatementKind::Read)));
}

TEST_CASE("statements that the session state does not allow are refused without effect")
{
    auto fixture = SessionFixture();
    fixture.open();
    CHECK(errorOf(fixture.ask(StatementKind::Commit)) == StatementError::Malformed);
    CHECK(errorOf(fixture.ask(StatementKind::Rollback)) == StatementError::Malformed);
    CHECK(errorOf(fixture.ask(StatementKind::Malformed)) == StatementError::Malformed);
    std::ignore = fixture.ask(StatementKind::Begin);
    CHECK(errorOf(fixture.ask(StatementKind::Begin)) == StatementError::Malformed);
    CHECK_FALSE(errorOf(fixture.ask(StatementKind::Rollback)));
    CHECK(fixture.servers.sent.empty());
}

// Guards against connections that stay occupied by clients that disconnected or are idle.
TEST_CASE("an open transaction is rolled back when its client disconnects or stays idle")
{
    auto fixture = SessionFixture();
    fixture.open();
    std::ignore = fixture.ask(StatementKind::Begin);
    std::ignore = fixture.ask(StatementKind::Read);
    SECTION("disconnected")
    {
        fixture.session->clientDisconnected();
        CHECK(fixture.rolledBack.size() == 1);
    }
    SECTION("idle")
    {
        fixture.servers.scheduler.runFor(4s);
        CHECK(fixture.rolledBack.size() == 1);
        CHECK(errorOf(fixture.ask(StatementKind::Read)) == StatementError::Aborted);
        CHECK_FALSE(errorOf(fixture.ask(StatementKind::Rollback)));
    }
    SECTION("disconnected while a statement runs")
    {
        fixture.session->enqueue(ClientStatement{.id = "x", .kind = StatementKind::Read});
        fixture.session->clientDisconnected();
        CHECK(fixture.rolledBack.empty());
        fixture.servers.scheduler.runFor(1s);
        CHECK(fixture.rolledBack.size() == 1);
    }
}

TEST_CASE("draining interrupts no statement and no transaction")
{
    auto fixture = SessionFixture();
    fixture.open();
    SECTION("an idle session ends at once")
    {
        fixture.session->drain();
        CHECK(fixture.closed);
    }
    SECTION("a running statement is completed first")
    {
        fixture.session->enqueue(ClientStatement{.id = "x", .kind = StatementKind::Write});
        fixture.session->drain();
        CHECK_FALSE(fixture.closed);
        fixture.servers.scheduler.runFor(1s);
        CHECK(fixture.responses.size() == 1);
        CHECK(fixture.closed);
    }
    SECTION("a transaction continues until its end or until the session is ended")
    {
        std::ignore = fixture.ask(StatementKind::Begin);
        std::ignore = fixture.ask(StatementKind::Read);
        fixture.session->drain();
        CHECK_FALSE(errorOf(fixture.ask(StatementKind::Write)));
        CHECK_FALSE(fixture.closed);
        fixture.session->endNow();
        CHECK(fixture.rolledBack.size() == 1);
        CHECK(fixture.refusals.at(0).error == StatementError::Aborted);
        CHECK(fixture.closed);
    }
}

TEST_CASE("the session of a client that sends too many statements is ended")
{
    auto fixture = SessionFixture();
    fixture.open();
    for (auto i = std::size_t(0); i <= ProxySession::MAX_QUEUED + 1; ++i)
        fixture.session->enqueue(ClientStatement{.id = "x", .kind = StatementKind::Read});
    // Nothing is accepted any more, and the refusal is no response to a statement that runs.
    fixture.session->enqueue(ClientStatement{.id = "late", .kind = StatementKind::Read});
    CHECK(fixture.refusals.empty());
    fixture.servers.scheduler.runFor(2s);
    CHECK(fixture.responses.size() == ProxySession::MAX_QUEUED + 1);
    CHECK(fixture.servers.count(ServerOperation::Forward) == ProxySession::MAX_QUEUED + 1);
    CHECK(fixture.refusals.size() == 1);
    CHECK(fixture.closed);
}

} // namespace auburnrail
