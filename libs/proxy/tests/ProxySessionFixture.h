#ifndef AUBURNRAIL_PROXY_TESTS_PROXYSESSIONFIXTURE_H
#define AUBURNRAIL_PROXY_TESTS_PROXYSESSIONFIXTURE_H

#include "FakeServers.h"

#include <proxy/ProxySession.h>

#include <state/KeySecret.h>

#include <catch2/catch.hpp>

namespace auburnrail::testing {

constexpr auto SECRET = "secret of the test cluster";
constexpr auto KEY = "caller-key";

inline auto makeState() -> FleetObjects
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
                                   .statementTimeout = std::chrono::seconds(1),
                                   .transactionIdleLimit = std::chrono::seconds(3)};
    objects.put(route);
    return objects;
}

/// A session that uses FakeServers.
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
                [this](const PooledConnectionPointer &connection) {
                    this->rolledBack.push_back(connection->handle.endpoint);
                },
            .sendOpened = [this] { this->opened = true; },
            .sendResponse =
                [this](const StatementResponse &response) { this->responses.push_back(response); },
            .sendRefusal =
                [this](const StatementFailure &failure) { this->refusals.push_back(failure); },
            .close = [this] { this->closed = true; },
            .report =
                [](const StatementReport &) {
                }};
    }

    /// Sends a statement and returns its response.
    auto ask(ClientStatement statement) -> StatementResponse
    {
        statement.id = "s" + std::to_string(++this->lastId);
        if (statement.text.empty())
            statement.text = nameOf(statement.kind);
        if (statement.kind == StatementKind::Commit)
            statement.text = "COMMIT";
        const auto before = this->responses.size();
        this->session->enqueue(std::move(statement));
        this->servers.scheduler.runFor(std::chrono::seconds(2));
        REQUIRE(this->responses.size() == before + 1);
        return this->responses.back();
    }

    auto ask(StatementKind kind) -> StatementResponse
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
    std::vector<StatementResponse> responses;
    std::vector<StatementFailure> refusals;
    std::vector<std::string> rolledBack;
    std::shared_ptr<ProxySession> session;
};

inline auto errorOf(const StatementResponse &response) -> std::optional<StatementError>
{
    return response.failure ? std::optional(response.failure->error) : std::nullopt;
}

} // namespace auburnrail::testing

#endif
