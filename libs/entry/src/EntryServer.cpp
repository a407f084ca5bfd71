#include <entry/EntryServer.h>

#include <callers/CallerCodec.h>
#include <endpoint/EndpointCodec.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace auburnrail {

namespace {

constexpr auto ANNOUNCEMENT_PATH = "/v1/announcements";
constexpr auto STATUS_BAD_REQUEST = 400;

auto connectionOf(const HttpRequest &request) -> std::uint64_t
{
    auto number = std::uint64_t(0);
    const auto found = request.headers.find("x-connection");
    if (found != request.headers.end())
        std::ignore = absl::SimpleAtoi(found->second, &number);
    return number;
}

/// True if the response leaves a transaction open that ends with the caller's connection.
auto leavesTransactionOpen(const CallerRequest &request, const CallerResponse &response) -> bool
{
    if (request.kind == RequestKind::Begin)
        return !response.transaction.empty();
    return request.kind == RequestKind::Statement && !request.transaction.empty();
}

auto refuseWhileDraining() -> CallerResponse
{
    auto response = CallerResponse();
    response.reason = ReasonCode::ShuttingDown;
    response.message = "this entry is shutting down; use another one";
    return response;
}

} // namespace

EntryServer::EntryServer(const EntrySettings &settings, EntryTables &entryTables)
    : tables(entryTables)
    , runner(entryTables)
    , server(HttpServerSettings{.address = settings.callersAddress,
                                .workerThreads = static_cast<std::size_t>(settings.workerThreads),
                                .maxBodyBytes = static_cast<std::size_t>(settings.maxBodyBytes)},
             HttpServerHooks{
                 .handle = [this](const HttpRequest &request) { return this->handle(request); },
                 .opened = {},
                 .closed =
                     [this](std::uint64_t connection) {
                         this->tables.transactions.closeCaller(connection);
                     }})
{
}

auto EntryServer::start() -> absl::Status
{
    return this->server.start();
}

auto EntryServer::drain() -> void
{
    this->draining = true;
    this->server.stopAccepting();
}

auto EntryServer::unfinishedWork() -> std::size_t
{
    return this->server.activeRequests() + this->tables.transactions.size();
}

auto EntryServer::stop() -> void
{
    this->server.stop();
}

auto EntryServer::handle(const HttpRequest &request) -> HttpResponse
{
    if (request.target == ANNOUNCEMENT_PATH)
        return this->handleAnnouncement(request);
    const auto requestId = absl::StrCat(absl::Hex(this->tables.random()));
    auto decoded = decodeCallerRequest(request, requestId, this->tables.executor.now());
    if (const auto *refusal = std::get_if<CallerResponse>(&decoded))
        return encodeCallerResponse(*refusal, requestId);
    auto &callerRequest = std::get<CallerRequest>(decoded);
    callerRequest.callerConnection = connectionOf(request);
    const auto &id = callerRequest.requestId;
    if (this->draining && callerRequest.kind == RequestKind::Begin)
        return encodeCallerResponse(refuseWhileDraining(), id);
    const auto response = this->runner.serve(callerRequest);
    auto httpResponse = encodeCallerResponse(response, id);
    httpResponse.keepOpen = leavesTransactionOpen(callerRequest, response);
    return httpResponse;
}

auto EntryServer::handleAnnouncement(const HttpRequest &request) -> HttpResponse
{
    auto announcement = decodeAnnouncement(request);
    if (!announcement.ok()) {
        return HttpResponse{.status = STATUS_BAD_REQUEST,
                            .headers = {},
                            .body = std::string(announcement.status().message())};
    }
    if (announcement->leaving)
        this->tables.endpoints.markLeaving(announcement->endpoint);
    this->tables.announced.record(*std::move(announcement), this->tables.executor.now());
    return HttpResponse{.status = 200, .headers = {}, .body = "{}"};
}

} // namespace auburnrail
