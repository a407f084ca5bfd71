#include <request/ConnectionPool.h>
#include <request/ReplicationTracker.h>
#include <request/RetryBudget.h>
#include <request/TransactionTable.h>

#include <catch2/catch.hpp>

#include <absl/strings/str_cat.h>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto START = TimePoint(100s);

/// A pool whose connections the test opens; records those opened, closed and handed out.
struct PoolFixture
{
    auto acquire(Duration wait = 1s) -> void
    {
        this->pool.acquire("p", "shed", 1, START + wait, START,
                           [this](const absl::StatusOr<ConnectionHandle> &handle) {
                               if (handle.ok())
                                   this->acquired.push_back(*handle);
                               else
                                   this->errors.push_back(handle.status().code());
                           });
    }

    std::vector<ConnectionHandle> opening;
    std::vector<ConnectionHandle> closed;
    std::vector<ConnectionHandle> acquired;
    std::vector<absl::StatusCode> errors;
    ConnectionPool pool{{
        .open = [this](const ConnectionHandle &handle) { this->opening.push_back(handle); },
        .close = [this](const ConnectionHandle &handle) { this->closed.push_back(handle); },
        .makeQueue = [] { return makeFifoWaiterQueue(2); },
    }};
};

struct TransactionFixture
{
    auto add(std::string organisation, std::uint64_t caller = 0, std::string key = "k")
        -> std::string
    {
        return this->table.add({.organisation = std::move(organisation),
                                .keyId = std::move(key),
                                .service = "s",
                                .connection = {.endpoint = "p", .id = ++this->lastId},
                                .callerConnection = caller},
                               99, START);
    }

    auto reasonAt(std::string_view id, TimePoint now, std::string_view organisation = "shed",
                  std::string_view service = "s") -> ReasonCode
    {
        const auto taken = this->table.acquire(id, organisation, service, now);
        const auto *reason = std::get_if<ReasonCode>(&taken);
        return reason != nullptr ? *reason : ReasonCode::Completed;
    }

    std::uint64_t lastId = 0;
    std::vector<std::uint64_t> abandoned;
    TransactionTable table{"e.1", {.abandon = [this](const PinnedTransaction &transaction) {
                               this->abandoned.push_back(transaction.connection.id);
                           }}};
};

} // namespace

// Guards the endpoint's connection limit and the queue bound.
TEST_CASE("a pool stays within its limit and serves waiters in order")
{
    auto fixture = PoolFixture();
    fixture.pool.setLimit("p", 1);
    fixture.acquire();
    fixture.acquire();
    REQUIRE(fixture.opening.size() == 1);
    fixture.acquire();
    CHECK(fixture.errors == std::vector{absl::StatusCode::kResourceExhausted});
    fixture.pool.opened(fixture.opening[0], START);
    REQUIRE(fixture.acquired.size() == 1);
    fixture.pool.release(fixture.acquired[0], true, START);
    REQUIRE(fixture.acquired.size() == 2);
    CHECK(fixture.acquired[1] == fixture.acquired[0]);
    CHECK(fixture.pool.stats("p").inUse == 1);
}

// Guards against mixed transactions and stray responses: a connection in an unknown state is never
// reused.
TEST_CASE("a connection that did not end cleanly is closed and replaced")
{
    auto fixture = PoolFixture();
    fixture.pool.setLimit("p", 1);
    fixture.acquire();
    fixture.pool.opened(fixture.opening[0], START);
    fixture.acquire();
    fixture.pool.release(fixture.acquired[0], false, START);
    fixture.pool.release(fixture.acquired[0], true, START); // A second release does nothing.
    CHECK(fixture.closed == std::vector{fixture.acquired[0]});
    REQUIRE(fixture.opening.size() == 2);
    fixture.pool.opened(fixture.opening[1], START);
    REQUIRE(fixture.acquired.size() == 2);
    CHECK(fixture.acquired[1] != fixture.acquired[0]);
}

TEST_CASE("waiters end at their deadline, on a failed opening and on removal")
{
    auto fixture = PoolFixture();
    fixture.pool.setLimit("p", 1);
    fixture.acquire(10ms);
    CHECK(fixture.pool.nextDeadline() == START + 10ms);
    fixture.pool.expire(START + 10ms);
    CHECK(fixture.errors == std::vector{absl::StatusCode::kResourceExhausted});
    fixture.acquire();
    fixture.pool.openFailed(fixture.opening[0], absl::UnknownError("refused"), START);
    CHECK(fixture.errors.back() == absl::StatusCode::kUnavailable);
    fixture.acquire();
    fixture.pool.removeEndpoint("p");
    CHECK(fixture.errors.size() == 3);
    fixture.pool.opened(fixture.opening.back(), START);
    CHECK(fixture.closed.size() == 1);
    CHECK(fixture.acquired.empty());
}

// Guards isolation of transactions between organisations, entries and requests.
TEST_CASE("a transaction is used by its organisation, on its entry, one request at a time")
{
    auto fixture = TransactionFixture();
    const auto id = fixture.add("shed");
    CHECK(fixture.reasonAt("e.2.1-63", START) == ReasonCode::TransactionElsewhere);
    CHECK(fixture.reasonAt("e.1.1-64", START) == ReasonCode::TransactionUnknown);
    CHECK(fixture.reasonAt("nonsense", START) == ReasonCode::TransactionUnknown);
    CHECK(fixture.reasonAt(id, START, "portal") == ReasonCode::TransactionUnknown);
    CHECK(fixture.reasonAt(id, START, "shed", "t") == ReasonCode::TransactionUnknown);
    CHECK(fixture.reasonAt(id, START) == ReasonCode::Completed);
    CHECK(fixture.reasonAt(id, START) == ReasonCode::TransactionBusy);
    fixture.table.release(id, START + 20s);
    CHECK(fixture.reasonAt(id, START + 40s) == ReasonCode::Completed);
    fixture.table.release(id, START + 40s);
    CHECK(fixture.reasonAt(id, START + 70s) == ReasonCode::TransactionAborted);
    CHECK(fixture.abandoned == std::vector<std::uint64_t>{1});
}

// Guards against transactions that hold connections forever.
TEST_CASE("transactions end with their caller, their organisation, their limits and the entry")
{
    auto fixture = TransactionFixture();
    const auto first = fixture.add("shed", 7);
    const auto second = fixture.add("shed", 8);
    const auto third = fixture.add("portal", 8);
    REQUIRE(fixture.reasonAt(first, START) == ReasonCode::Completed);
    fixture.table.closeCaller(7);
    CHECK(fixture.abandoned.empty()); // Its statement is still in flight.
    fixture.table.release(first, START);
    CHECK(fixture.abandoned == std::vector<std::uint64_t>{1});
    fixture.table.closeOrganisation("shed");
    CHECK(fixture.abandoned == std::vector<std::uint64_t>{1, 2});
    fixture.table.expire(START + 29999ms);
    CHECK(fixture.table.size() == 1);
    fixture.table.expire(START + 30s);
    CHECK(fixture.abandoned == std::vector<std::uint64_t>{1, 2, 3});
    fixture.add("shed", 0, "withdrawn");
    fixture.add("shed");
    fixture.table.closeKey("withdrawn");
    CHECK(fixture.abandoned == std::vector<std::uint64_t>{1, 2, 3, 4});
    fixture.table.closeAll();
    CHECK(fixture.abandoned.size() == 5);
    CHECK(fixture.add("shed").empty());
    CHECK(fixture.reasonAt(second, START) == ReasonCode::TransactionUnknown);
    CHECK(fixture.reasonAt(third, START) == ReasonCode::TransactionUnknown);
}

// Guards against retry storms: retries are a fraction of the requests, and memory is bounded.
TEST_CASE("the retry budget is a fraction of requests with a minimum rate")
{
    auto budget = RetryBudget();
    const auto spend = [&](TimePoint now) {
        auto count = 0;
        while (budget.tryRetry("shed", now))
            ++count;
        return count;
    };
    CHECK(spend(START) == 5);
    for (auto i = 0; i < 100; ++i)
        budget.recordRequest("shed", START);
    CHECK(spend(START) >= 19); // 0.2 for each request, in floating point.
    CHECK(spend(START + 2s) == 2);
    CHECK(spend(START + 1h) == 5);
    for (auto i = 0; i < 5000; ++i)
        budget.recordRequest(absl::StrCat("org", i), START + 1h);
    CHECK(budget.size() == RetryBudget::MAX_ORGANISATIONS);
}

// Guards acknowledgements: only positions of the current term on a majority count.
TEST_CASE("a position is confirmed by a majority of its term")
{
    auto sent = std::vector<std::string>();
    auto results = std::string();
    auto tracker =
        ReplicationTracker({.sendAwait = [&](const std::string & /*group*/,
                                             const std::string &endpoint, Position position) {
            sent.push_back(absl::StrCat(endpoint, position.index));
        }});
    const auto await = [&](std::uint64_t term, std::uint64_t index) {
        tracker.awaitMajority("g", {.term = term, .index = index}, START + 1s,
                              [&](bool confirmed) { results += confirmed ? "y" : "n"; });
    };
    await(1, 1); // The group is unknown.
    CHECK(results == "n");
    tracker.setGroup("g", 2, {"p", "q", "r"});
    tracker.recordPosition("g", "p", {.term = 2, .index = 9});
    await(1, 5); // Another term.
    CHECK(results == "nn");
    await(2, 9);
    await(2, 8);
    CHECK(sent == std::vector<std::string>{"q9", "r9"}); // One outstanding for each endpoint.
    tracker.awaitEnded("g", "q", Position{.term = 1, .index = 50});
    tracker.awaitEnded("g", "r", Position{.term = 2, .index = 8});
    CHECK(results == "nny");
    CHECK(sent == std::vector<std::string>{"q9", "r9", "r9"});
    tracker.expire(START); // Sends the failed one again.
    CHECK(sent.back() == "q9");
    tracker.awaitEnded("g", "q", Position{.term = 2, .index = 9});
    CHECK(results == "nnyy");
    await(2, 10);
    await(2, 11);
    tracker.expire(START + 1s);
    CHECK(results == "nnyynn");
    await(2, 12);
    tracker.setGroup("g", 3, {"p", "q", "r"});
    CHECK(results == "nnyynnn");
    CHECK_FALSE(tracker.nextDeadline());
}

} // namespace auburnrail
