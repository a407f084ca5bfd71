#ifndef AUBURNRAIL_PROXY_TESTS_STATEMENTRUNFIXTURE_H
#define AUBURNRAIL_PROXY_TESTS_STATEMENTRUNFIXTURE_H

#include "FakeServers.h"

#include <proxy/StatementRun.h>

#include <catch2/catch.hpp>

namespace auburnrail::testing {

inline auto requestFor(StatementKind kind, const FakeServers &servers) -> StatementRequest
{
    auto request = StatementRequest();
    request.statement = ClientStatement{.id = "s1", .kind = kind, .text = "READ a"};
    if (kind == StatementKind::Write)
        request.statement.text = "WRITE a 1";
    if (kind == StatementKind::Commit)
        request.statement.text = "COMMIT";
    request.policy.consistency = ReadConsistency::BoundedStaleness;
    request.policy.statementTimeout = std::chrono::seconds(1);
    request.group = "g";
    request.organisation = "o";
    request.arrivedAt = servers.scheduler.now();
    return request;
}

inline auto runToEnd(FakeServers &servers, const StatementRequest &request,
                     const PooledConnectionPointer &connection = nullptr)
    -> std::optional<StatementResult>
{
    auto result = std::optional<StatementResult>();
    const auto run = std::make_shared<StatementRun>(
        servers.hooks(), request, [&result](StatementResult ended) { result = std::move(ended); });
    if (connection == nullptr)
        run->start();
    else
        run->startInTransaction(connection);
    servers.scheduler.runFor(std::chrono::seconds(5));
    return result;
}

inline auto errorOf(const std::optional<StatementResult> &result) -> std::optional<StatementError>
{
    REQUIRE(result);
    const auto &failure = result->response.failure;
    return failure ? std::optional(failure->error) : std::nullopt;
}

inline auto openTransaction(FakeServers &servers) -> PooledConnectionPointer
{
    auto first = requestFor(StatementKind::Read, servers);
    first.opens = TransactionAccess::ReadWrite;
    const auto opened = runToEnd(servers, first);
    REQUIRE(opened);
    REQUIRE(opened->connection != nullptr);
    return opened->connection;
}

} // namespace auburnrail::testing

#endif
