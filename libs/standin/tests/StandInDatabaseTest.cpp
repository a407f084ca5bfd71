#include <standin/StandInDatabase.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto START = TimePoint(1h);

auto makePrimary() -> StandInDatabase
{
    return StandInDatabase({.endpoint = "a", .primary = true, .connectionLimit = 2});
}

auto makeReplica() -> StandInDatabase
{
    return StandInDatabase({.endpoint = "b", .primaryAddress = "a"});
}

auto execute(const std::string &statement, std::uint64_t term = 1) -> EndpointRequest
{
    return EndpointRequest{.exchangeId = "x",
                           .operation = EndpointOperation::Execute,
                           .term = term,
                           .mode =
                               statement.starts_with("GET") ? AccessMode::Read : AccessMode::Write,
                           .statement = statement};
}

auto operate(EndpointOperation operation, std::uint64_t term = 1) -> EndpointRequest
{
    return EndpointRequest{.exchangeId = "x", .operation = operation, .term = term};
}

auto pull(StandInDatabase &replica, const StandInDatabase &source, TimePoint at) -> void
{
    const auto next = replica.nextPull();
    REQUIRE(next.has_value());
    replica.takeLog(source.serveLog(next->request), at);
}

/// One exchange with a server that was prepared, and the refusal that must come back.
struct RefusalCase
{
    const char *name;
    std::function<auto(StandInDatabase &)->void> prepare;
    EndpointRequest request;
    EndpointRefusal refusal;
};

const auto NOTHING = [](StandInDatabase &) {
};
const auto FENCE = [](StandInDatabase &database) {
    std::ignore = database.fence(2, START);
};
const auto FOLLOW = [](StandInDatabase &database) {
    std::ignore = database.follow(2, {"c", "c"}, START);
};
const auto BEGIN = [](StandInDatabase &database) {
    std::ignore = database.run(1, operate(EndpointOperation::Begin), START);
};

const auto REFUSAL_CASES = std::vector<RefusalCase>{
    {"write at the primary", NOTHING, execute("PUT k 1"), EndpointRefusal::None},
    {"lower term", FENCE, execute("GET k", 1), EndpointRefusal::WrongTerm},
    {"higher term", NOTHING, execute("GET k", 2), EndpointRefusal::WrongTerm},
    {"await of a lower term", FENCE, operate(EndpointOperation::Await, 1),
     EndpointRefusal::WrongTerm},
    {"status of any term", FENCE, operate(EndpointOperation::Status, 0), EndpointRefusal::None},
    {"write at a fenced server", FENCE, execute("PUT k 1", 2), EndpointRefusal::Fenced},
    {"write at a replica", FOLLOW, execute("PUT k 1", 2), EndpointRefusal::NotPrimary},
    {"read at a replica", FOLLOW, execute("GET k", 2), EndpointRefusal::None},
    {"read ahead of the log", NOTHING,
     EndpointRequest{.term = 1, .statement = "GET k", .minimumPosition = {.term = 1, .index = 1}},
     EndpointRefusal::Behind},
    {"third connection",
     [](StandInDatabase &database) {
         std::ignore = database.run(2, operate(EndpointOperation::Connect), START);
         std::ignore = database.run(3, operate(EndpointOperation::Connect), START);
     },
     operate(EndpointOperation::Connect), EndpointRefusal::Busy},
    {"session at a leaving server", [](StandInDatabase &database) { database.setLeaving(true); },
     operate(EndpointOperation::Connect), EndpointRefusal::Leaving},
    {"write declared as read", NOTHING,
     EndpointRequest{.term = 1, .mode = AccessMode::Read, .statement = "PUT k 1"},
     EndpointRefusal::BadStatement},
    {"second transaction on one connection", BEGIN, operate(EndpointOperation::Begin),
     EndpointRefusal::BadStatement},
    {"commit without transaction", NOTHING, operate(EndpointOperation::Commit),
     EndpointRefusal::NoTransaction},
    {"commit of a transaction that a fence ended",
     [](StandInDatabase &database) {
         BEGIN(database);
         FENCE(database);
     },
     operate(EndpointOperation::Commit, 2), EndpointRefusal::NoTransaction},
};

} // namespace

// Guards against work by servers that must not do it: wrong term, wrong role, behind, over a limit.
TEST_CASE("a server refuses what its term, role and limits do not allow")
{
    for (const auto &row : REFUSAL_CASES) {
        INFO(row.name);
        auto database = makePrimary();
        row.prepare(database);
        CHECK(database.run(1, row.request, START).refusal == row.refusal);
    }
}

// Guards against a late fence or promotion that changes the role of a server in its own term.
TEST_CASE("terms only rise, and a primary keeps its term")
{
    auto database = makePrimary();
    CHECK_FALSE(database.fence(1, START).accepted);
    const auto fenced = database.fence(2, START);
    CHECK(fenced.accepted);
    CHECK(fenced.wasPrimary);
    CHECK_FALSE(database.promote(1, START));
    CHECK(database.promote(2, START));
    CHECK(database.promote(2, START));
    CHECK_FALSE(database.fence(2, START).accepted);
    CHECK_FALSE(database.follow(2, {"c", "c"}, START));
    // The promotion wrote one entry, although it came twice.
    CHECK(database.fence(3, START).position == Position{.term = 2, .index = 1});
}

TEST_CASE("an idempotency key takes effect once, also after a failover")
{
    auto primary = makePrimary();
    auto replica = makeReplica();
    auto request = execute("APPEND k x,");
    request.organisation = "shed";
    request.idempotencyKey = "1";
    request.fingerprint = "f";
    CHECK_FALSE(primary.run(1, request, START).duplicate);
    CHECK(primary.run(1, request, START).duplicate);
    pull(replica, primary, START);
    REQUIRE(replica.promote(2, START));
    request.term = 2;
    const auto repeated = replica.run(1, request, START);
    CHECK(repeated.duplicate);
    CHECK(repeated.result == "x,");
    CHECK(repeated.position == Position{.term = 2, .index = 2});
    request.fingerprint = "g";
    CHECK(replica.run(1, request, START).refusal == EndpointRefusal::IdempotencyConflict);
    CHECK(replica.run(1, execute("GET k", 2), START).result == "x,");
}

TEST_CASE("a transaction is applied whole at commit and rolled back when its connection closes")
{
    auto database = makePrimary();
    BEGIN(database);
    std::ignore = database.run(1, execute("PUT a 1"), START);
    std::ignore = database.run(1, execute("APPEND a 2"), START);
    CHECK(database.run(1, execute("GET a"), START).result == "12");
    CHECK(database.run(2, execute("GET a"), START).result.empty());
    const auto committed = database.run(1, operate(EndpointOperation::Commit), START);
    CHECK(committed.position == Position{.term = 1, .index = 1});
    CHECK(database.run(2, execute("GET a"), START).result == "12");

    BEGIN(database);
    std::ignore = database.run(1, execute("PUT a 3"), START);
    database.closed(1);
    CHECK(database.run(1, execute("GET a"), START).result == "12");
    CHECK(database.run(1, operate(EndpointOperation::Commit), START).refusal
          == EndpointRefusal::NoTransaction);
}

// Guards against a returned primary that keeps writes its successor never had.
TEST_CASE("a replica drops entries that diverge from its primary")
{
    auto old = makePrimary();
    auto next = makeReplica();
    std::ignore = old.run(1, execute("APPEND k a,"), START);
    pull(next, old, START);
    std::ignore = old.run(1, execute("APPEND k lost,"), START);
    REQUIRE(next.promote(2, START));
    std::ignore = next.run(1, execute("APPEND k b,", 2), START);
    REQUIRE(old.follow(2, {"b", "b"}, START));
    pull(old, next, START + 1s);
    pull(old, next, START + 2s);
    const auto read = old.run(1, execute("GET k", 2), START + 5s);
    CHECK(read.result == "a,b,");
    CHECK(read.dataAge == 3s);
    CHECK(next.run(1, execute("GET k", 2), START).dataAge == 0s);
}

} // namespace auburnrail
