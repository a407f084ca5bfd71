#include "FakeServers.h"

#include <proxy/ProxySession.h>

#include <state/KeySecret.h>

#include <catch2/catch.hpp>

namespace auburnrail {

namespace {

using testing::FakeServers;
using namespace std::chrono_literals;

constexpr auto SECRET = "secret of the test cluster";
constexpr auto KEY = "caller-key";

auto makeState() -> FleetObjects
{
    auto findings = Findings();
    auto objects = FleetObjects();
    objects.put(Service{.name = "s", .group = "g"});
    objects.put(
        Organisation{.name = "o", .ratePerSecond = 10, .burst = 10, .labels = {{"l", "1"}}});
    objects.put(
        Key{.id = documentKeyId(KEY, SECRET), .organisation = "o", .hash = hashKey(KEY, SECRET)});
    auto route = Route{
        .name = "r", .service = "s", .selector = Selector::parse("l=1", "selector", findings)};
    route.sessions = SessionPolicy{.database = "db",
                                   .consistency = ReadConsistency::Primary,
                                   .statementTimeout = 1s,
                                   .transactionIdleLimit = 3s};
    objects.put(route);
    return objects;
}

/// One session over FakeServers.
struct SessionFixture
{
    SessionFixture()
        : session(std::make_shared<ProxySession>(this->hooks(), SECRET))
    {
    }

    auto hooks() -> ProxySessionHooks
    {
        return ProxySessionHooks{
            .statements = this->servers.hooks(),
            .state = [this] { return std::make_shared<const FleetObjects>(this->objects); },
            .admit =
                [this](const AdmissionRequest &, const OperationAdmitted &done) {
                    ++this->admissions;
                    done(this->refusal);
                },
            .rollBack =
                [this](const ServerLinkPointer &link) {
                    this->rolledBack.push_back(link->handle.endpoint);
                },
            .sendOpened = [this] { this->opened = true; },
            .sendAnswer =
                [this](const StatementAnswer &answer) { this->answers.push_back(answer); },
            .sendRefusal =
                [this](const StatementFailure &failure) { this->refusals.push_back(failure); },
            .close = [this] { this->closed = true; },
            .report =
                [](const StatementReport &) {
                }};
    }

    /// Sends a statement and returns its answer.
    auto ask(ClientStatement statement) -> StatementAnswer
    {
        statement.id = "s" + std::to_string(++this->lastId);
        if (statement.text.empty())
            statement.text = nameOf(statement.kind);
        if (statement.kind == StatementKind::Commit)
            statement.text = "COMMIT";
        const auto before = this->answers.size();
        this->session->take(std::move(statement));
        this->servers.scheduler.runFor(2s);
        REQUIRE(this->answers.size() == before + 1);
        return this->answers.back();
    }

    auto ask(StatementKind kind) -> StatementAnswer
    {
        return this->ask(ClientStatement{.kind = kind});
    }

    auto open() -> void
    {
        this->session->open({.database = "db", .key = KEY});
    }

    FakeServers servers;
    FleetObjects objects = makeState();
    std::optional<RequestRefusal> refusal;
    int admissions = 0;
    int lastId = 0;
    bool opened = false;
    bool closed = false;
    std::vector<StatementAnswer> answers;
    std::vector<StatementFailure> refusals;
    std::vector<std::string> rolledBack;
    std::shared_ptr<ProxySession> session;
};

auto errorOf(const StatementAnswer &answer) -> std::optional<StatementError>
{
    return answer.failure ? std::optional(answer.failure->error) : std::nullopt;
}

} // namespace

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

// Guards against "no such database" from an entry that has just started and knows none.
TEST_CASE("an entry without a lease does not judge databases and keys")
{
    auto fixture = SessionFixture();
    fixture.servers.leased = false;
    fixture.objects = FleetObjects();
    fixture.open();
    fixture.servers.scheduler.runFor(10ms);
    CHECK(fixture.refusals.at(0).error == StatementError::Busy);
    CHECK(fixture.closed);
}

// Guards against refusals in the second between the restart of an entry and its first lease.
TEST_CASE("an opening that comes before the first lease waits for it")
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

// Guards against withdrawn keys and removed routes that go on working on open sessions.
TEST_CASE("each operation is checked against the state of its moment")
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

TEST_CASE("an organisation over its rate is told that nothing ran")
{
    auto fixture = SessionFixture();
    fixture.open();
    fixture.refusal = RequestRefusal{.reason = ReasonCode::RateLimited};
    CHECK(errorOf(fixture.ask(StatementKind::Write)) == StatementError::Busy);
    CHECK(errorOf(fixture.ask(StatementKind::Begin)) == StatementError::Busy);
    CHECK(fixture.answers.back().state == SessionState::Idle);
    CHECK(fixture.servers.sent.empty());
}

TEST_CASE("values and prepared statements live in the session")
{
    auto fixture = SessionFixture();
    fixture.open();
    CHECK_FALSE(errorOf(
        fixture.ask(ClientStatement{.kind = StatementKind::SetValue, .name = "v", .value = "1"})));
    CHECK_FALSE(errorOf(
        fixture.ask(ClientStatement{.kind = StatementKind::Prepare, .name = "p", .shape = "q"})));
    CHECK(fixture.servers.sent.empty());
    CHECK(fixture.answers.back().signature.empty());
    CHECK_FALSE(errorOf(fixture.ask(
        ClientStatement{.kind = StatementKind::Execute, .name = "p", .value = "item"})));
    REQUIRE(fixture.servers.sent.size() == 3);
    CHECK(fixture.servers.sent.back().name == "rq");
    CHECK_FALSE(
        errorOf(fixture.ask(ClientStatement{.kind = StatementKind::Deallocate, .name = "p"})));
    CHECK(errorOf(fixture.ask(ClientStatement{.kind = StatementKind::Execute, .name = "p"}))
          == StatementError::UnknownStatement);
    CHECK(errorOf(fixture.ask(ClientStatement{.kind = StatementKind::Deallocate, .name = "p"}))
          == StatementError::UnknownStatement);
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

TEST_CASE("a failed transaction accepts its end only, and is rolled back on the server")
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

TEST_CASE("statements at the wrong time are refused and harm nothing")
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

// Guards against scarce connections that are held by callers who went away or fell asleep.
TEST_CASE("an open transaction is rolled back when its caller leaves or stays idle")
{
    auto fixture = SessionFixture();
    fixture.open();
    std::ignore = fixture.ask(StatementKind::Begin);
    std::ignore = fixture.ask(StatementKind::Read);
    SECTION("left")
    {
        fixture.session->callerLeft();
        CHECK(fixture.rolledBack.size() == 1);
    }
    SECTION("idle")
    {
        fixture.servers.scheduler.runFor(4s);
        CHECK(fixture.rolledBack.size() == 1);
        CHECK(errorOf(fixture.ask(StatementKind::Read)) == StatementError::Aborted);
        CHECK_FALSE(errorOf(fixture.ask(StatementKind::Rollback)));
    }
    SECTION("left while a statement runs")
    {
        fixture.session->take(ClientStatement{.id = "x", .kind = StatementKind::Read});
        fixture.session->callerLeft();
        CHECK(fixture.rolledBack.empty());
        fixture.servers.scheduler.runFor(1s);
        CHECK(fixture.rolledBack.size() == 1);
    }
}

TEST_CASE("draining cuts no statement and no transaction")
{
    auto fixture = SessionFixture();
    fixture.open();
    SECTION("an idle session ends at once")
    {
        fixture.session->drain();
        CHECK(fixture.closed);
    }
    SECTION("a statement under way is answered first")
    {
        fixture.session->take(ClientStatement{.id = "x", .kind = StatementKind::Write});
        fixture.session->drain();
        CHECK_FALSE(fixture.closed);
        fixture.servers.scheduler.runFor(1s);
        CHECK(fixture.answers.size() == 1);
        CHECK(fixture.closed);
    }
    SECTION("a transaction goes on until its end, or until the time is up")
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

TEST_CASE("a caller that floods its session is cut off")
{
    auto fixture = SessionFixture();
    fixture.open();
    for (auto i = std::size_t(0); i <= ProxySession::MAX_WAITING + 1; ++i)
        fixture.session->take(ClientStatement{.id = "x", .kind = StatementKind::Read});
    CHECK(fixture.refusals.size() == 1);
    CHECK(fixture.closed);
    fixture.servers.scheduler.runFor(2s);
}

} // namespace auburnrail
