#include <entry/EntryOperatorServer.h>

#include <http/JsonWriter.h>
#include <http/QueryString.h>
#include <observe/BurnJson.h>
#include <observe/ExplainJson.h>

#include <core/WallClock.h>

#include <chrono>

namespace auburnrail {

namespace {

constexpr auto OPERATOR_THREADS = std::size_t(4);
constexpr auto STATUS_UNAVAILABLE = 503;
constexpr auto STATUS_NOT_FOUND = 404;
constexpr auto REFUSAL_LIMIT = std::size_t(100);

auto textResponse(std::string body) -> HttpResponse
{
    return HttpResponse{.body = std::move(body), .contentType = "text/plain; charset=utf-8"};
}

auto recordsResponse(const std::vector<ExplainRecord> &records) -> HttpResponse
{
    auto items = std::vector<JsonWriter>();
    for (const auto &record : records)
        items.push_back(explainJson(record));
    auto writer = JsonWriter();
    writer.objects("records", items);
    return HttpResponse{.body = writer.toString()};
}

} // namespace

EntryOperatorServer::EntryOperatorServer(const EntrySettings &settings, EntryTables &entryTables)
    : tables(entryTables)
    , server(HttpServerSettings{.address = settings.operatorsAddress,
                                .workerThreads = OPERATOR_THREADS},
             HttpServerHooks{.handle = [this](const HttpRequest &request) {
                 return this->handle(request);
             }})
{
}

auto EntryOperatorServer::start() -> absl::Status
{
    return this->server.start();
}

auto EntryOperatorServer::setReady(bool value) -> void
{
    this->readyAllowed = value;
}

auto EntryOperatorServer::stop() -> void
{
    this->server.stop();
}

auto EntryOperatorServer::readiness() -> HttpResponse
{
    const auto isReady =
        this->readyAllowed && this->tables.lease.holds(this->tables.executor.now());
    auto response = textResponse(isReady ? "ready\n" : "not ready\n");
    response.status = isReady ? 200 : STATUS_UNAVAILABLE;
    return response;
}

auto EntryOperatorServer::handle(const HttpRequest &request) -> HttpResponse
{
    const auto query = parseTarget(request.target);
    if (query.path == "/healthz")
        return textResponse("ok\n");
    if (query.path == "/readyz")
        return this->readiness();
    if (query.path == "/metrics")
        return textResponse(this->tables.metricsText());
    if (query.path == "/v1/explain/request")
        return recordsResponse(this->tables.explain.byRequest(query.value("id")));
    if (query.path == "/v1/explain/refusals") {
        return recordsResponse(
            this->tables.explain.refusals(query.value("organisation"), REFUSAL_LIMIT));
    }
    if (query.path == "/v1/report/burn") {
        const auto report = burnJson(this->tables.burn.evaluate(systemWallClockMillis()));
        return HttpResponse{.body = report.toString()};
    }
    return HttpResponse{.status = STATUS_NOT_FOUND, .body = R"({"error":"unknown path"})"};
}

} // namespace auburnrail
