#include "ControlQueries.h"
#include "FleetFixture.h"

#include <callers/CallerCodec.h>
#include <endpoint/ControlCodec.h>
#include <http/HttpConnection.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto REQUEST_LIMIT = 20s;
constexpr auto WAIT_LIMIT = 60s;
constexpr auto EXCHANGE_LIMIT = 60s;

/// One exchange of a caller on its own keep-alive connection.
auto send(HttpConnection &connection, CallerRequest request) -> CallerResponse
{
    const auto now = std::chrono::steady_clock::now();
    request.deadline = now + REQUEST_LIMIT;
    const auto result = connection.exchange(encodeCallerRequest(request, now), EXCHANGE_LIMIT);
    REQUIRE(result.phase == ExchangePhase::Answered);
    return decodeCallerResponse(result.response);
}

auto ofKind(const std::string &key, RequestKind kind, const std::string &transaction)
    -> CallerRequest
{
    auto result = request(key, AccessMode::Write, "", REQUEST_LIMIT);
    result.kind = kind;
    result.transaction = transaction;
    return result;
}

auto writeIn(const std::string &key, const std::string &transaction, const std::string &statement)
    -> CallerRequest
{
    auto result = request(key, AccessMode::Write, statement, REQUEST_LIMIT);
    result.transaction = transaction;
    return result;
}

/// Begins a transaction and writes in it. Returns its id; empty when either did not succeed.
auto beginWith(HttpConnection &connection, const std::string &key, const std::string &statement)
    -> std::string
{
    const auto begun = send(connection, ofKind(key, RequestKind::Begin, ""));
    if (begun.reason != ReasonCode::Completed)
        return "";
    const auto written = send(connection, writeIn(key, begun.transaction, statement));
    return written.reason == ReasonCode::Completed ? begun.transaction : "";
}

/// Refused because of the key, or because the entry has no lease, which a busy machine can bring
/// about at any time.
auto isRefused(const CallerResponse &answer) -> bool
{
    return answer.outcome == Outcome::NotRun
           && (answer.reason == ReasonCode::KeyWithdrawn
               || answer.reason == ReasonCode::LeaseExpired);
}

/// Part `index` of a key `ar_<id>_<secret>`.
auto partOf(const std::string &key, int index) -> std::string
{
    const auto first = key.find('_');
    const auto second = key.find('_', first + 1);
    return index == 1 ? key.substr(first + 1, second - first - 1) : key.substr(second + 1);
}

/// Every request to an endpoint so far, as the endpoint got it.
auto receivedBy(const TestFleet &fleet, const std::string &endpoint) -> std::string
{
    const auto result = exchangeOnce(
        fleet.address(endpoint),
        {.method = "GET", .target = "/fault/received", .headers = {}, .body = {}, .peer = {}},
        EXCHANGE_LIMIT);
    REQUIRE(result.phase == ExchangePhase::Answered);
    return result.response.body;
}

auto textOf(const TestFleet &fleet, const std::string &process, const std::string &target)
    -> std::string
{
    const auto result = exchangeOnce(
        fleet.operatorsAddress(process),
        {.method = "GET", .target = target, .headers = {}, .body = {}, .peer = {}}, EXCHANGE_LIMIT);
    REQUIRE(result.phase == ExchangePhase::Answered);
    return result.response.body;
}

} // namespace

// Guards against a key that goes on working for callers that are already connected, or that have a
// transaction open, after the operator was told that it is withdrawn.
TEST_CASE("a withdrawn key is refused on open connections and in open transactions")
{
    auto fleet = TestFleet(fleetSettings());
    fleet.start();
    const auto key = configure(fleet, "shed", 100, 50);
    const auto created =
        fleet.mustCommand({"key", "create", "shed", "--secret-file", fleet.folder() + "/secret"});
    const auto begin = created.find("ar_");
    const auto other = created.substr(begin, created.find_first_of(" \n\"", begin) - begin);
    REQUIRE(writeEventually(fleet, "entry-1", key, "PUT bale 1").reason == ReasonCode::Completed);

    auto idle = std::vector<std::unique_ptr<HttpConnection>>();
    for (const auto &entry : entryNames()) {
        idle.push_back(std::make_unique<HttpConnection>(fleet.address(entry)));
        CHECK(fleet.eventually(WAIT_LIMIT, [&] {
            return send(*idle.back(), request(key, AccessMode::Read, "GET bale", REQUEST_LIMIT))
                       .reason
                   == ReasonCode::Completed;
        }));
    }
    auto open = std::unique_ptr<HttpConnection>();
    auto transaction = std::string();
    REQUIRE(fleet.eventually(WAIT_LIMIT, [&] {
        open = std::make_unique<HttpConnection>(fleet.address("entry-1"));
        transaction = beginWith(*open, key, "PUT bale 2");
        return !transaction.empty();
    }));

    fleet.mustCommand({"key", "withdraw", partOf(key, 1)});
    const auto within = send(*open, writeIn(key, transaction, "PUT bale 3"));
    INFO(nameOf(within.reason) << " " << within.message);
    CHECK(isRefused(within));
    const auto read = request(key, AccessMode::Read, "GET bale", REQUEST_LIMIT);
    for (auto &connection : idle) {
        CHECK(isRefused(send(*connection, read)));
        CHECK(fleet.eventually(WAIT_LIMIT, [&] {
            return send(*connection, read).reason == ReasonCode::KeyWithdrawn;
        }));
    }
    CHECK(send(*open, ofKind(key, RequestKind::Commit, transaction)).reason
          != ReasonCode::Completed);

    // Another key of the organisation goes on, and the transaction left nothing.
    auto answer = CallerResponse();
    CHECK(fleet.eventually(WAIT_LIMIT, [&] {
        answer = fleet.call("entry-1", request(other, AccessMode::Read, "GET bale", REQUEST_LIMIT));
        return answer.reason == ReasonCode::Completed;
    }));
    CHECK(answer.result == "1");
}

// Guards against a key that leaks to the database servers or into what operators read.
TEST_CASE("no endpoint and no log sees a key")
{
    auto fleet = TestFleet(fleetSettings());
    fleet.start();
    const auto key = configure(fleet, "shed", 1000, 500);
    const auto endpoints = std::vector<std::string>{"logs-1", "logs-2", "logs-3"};
    for (const auto &endpoint : endpoints) {
        const auto fault = FaultCommand{.exchangeId = "record", .kind = FaultKind::Record};
        const auto set =
            exchangeOnce(fleet.address(endpoint), encodeFaultCommand(fault), EXCHANGE_LIMIT);
        REQUIRE(set.phase == ExchangePhase::Answered);
        REQUIRE(set.response.status == 200);
    }
    for (const auto &entry : entryNames()) {
        auto keyed = request(key, AccessMode::Write, "PUT repeat-" + entry + " 2", REQUEST_LIMIT);
        keyed.idempotencyKey = "once-" + entry;
        CHECK(writeEventually(fleet, entry, key, "PUT plain-" + entry + " 1").reason
              == ReasonCode::Completed);
        CHECK(fleet.eventually(WAIT_LIMIT, [&] {
            keyed.deadline = std::chrono::steady_clock::now() + REQUEST_LIMIT;
            return fleet.call(entry, keyed).reason == ReasonCode::Completed;
        }));
        auto aged = request(key, AccessMode::Read, "GET aged-" + entry, REQUEST_LIMIT);
        aged.maxAge = 1h;
        CHECK(fleet.eventually(WAIT_LIMIT, [&] {
            aged.deadline = std::chrono::steady_clock::now() + REQUEST_LIMIT;
            return fleet.call(entry, aged).reason == ReasonCode::Completed;
        }));
        CHECK(fleet.call(entry, request(key + "x", AccessMode::Read, "GET forged", REQUEST_LIMIT))
                  .outcome
              == Outcome::NotRun);
        CHECK(fleet.eventually(WAIT_LIMIT, [&] {
            auto connection = HttpConnection(fleet.address(entry));
            const auto transaction = beginWith(connection, key, "PUT inside-" + entry + " 3");
            return !transaction.empty()
                   && send(connection, ofKind(key, RequestKind::Commit, transaction)).reason
                          == ReasonCode::Completed;
        }));
    }

    const auto secret = partOf(key, 2);
    REQUIRE(secret.size() >= 32);
    auto all = std::string();
    for (const auto &endpoint : endpoints)
        all += receivedBy(fleet, endpoint);
    for (const auto *kind : {"plain-", "repeat-", "aged-", "inside-"}) {
        for (const auto &entry : entryNames())
            CHECK(all.find(kind + entry) != std::string::npos);
    }
    CHECK(all.find("forged") == std::string::npos);
    CHECK(all.find(secret) == std::string::npos);
    auto processes = endpoints;
    for (const auto &name : controlNames())
        processes.push_back(name);
    for (const auto &entry : entryNames()) {
        processes.push_back(entry);
        for (const auto *target : {"/metrics", "/v1/explain/refusals"})
            CHECK(textOf(fleet, entry, target).find(secret) == std::string::npos);
    }
    for (const auto &process : processes) {
        INFO(process);
        CHECK(fleet.logOf(process).find(secret) == std::string::npos);
    }
}

} // namespace auburnrail
