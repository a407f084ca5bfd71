#include <standin/StandInServer.h>

#include <endpoint/ControlCodec.h>
#include <endpoint/EndpointCodec.h>
#include <http/HttpConnection.h>

#include <algorithm>
#include <cassert>
#include <cstdlib>

namespace auburnrail {

namespace {

constexpr auto STATUS_BAD_REQUEST = 400;
constexpr auto STATUS_UNAVAILABLE = 503;
constexpr auto ANNOUNCE_TIMEOUT = std::chrono::milliseconds(500);
constexpr auto MAX_WAIT = std::chrono::seconds(10);
/// Connections of probes, control, replicas and held exchanges, beside database sessions.
constexpr auto EXTRA_WORKERS = std::size_t(256);
constexpr auto FAULT_WORKERS = std::size_t(4);

auto badRequest(const absl::Status &status) -> HttpResponse
{
    return HttpResponse{
        .status = STATUS_BAD_REQUEST, .headers = {}, .body = std::string(status.message())};
}

auto hostOf(const std::string &address) -> std::string
{
    return address.substr(0, address.rfind(':'));
}

auto senderOf(const HttpRequest &request) -> std::string
{
    const auto found = request.headers.find("x-auburnrail-instance");
    return found == request.headers.end() ? hostOf(request.peer) : found->second;
}

auto connectionOf(const HttpRequest &request) -> std::uint64_t
{
    const auto found = request.headers.find("x-connection");
    return found == request.headers.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

} // namespace

StandInServer::StandInServer(StandInSettings standInSettings, Executor serverExecutor,
                             StandInServerHooks serverHooks)
    : settings(std::move(standInSettings))
    , executor(std::move(serverExecutor))
    , hooks(std::move(serverHooks))
    , database(StandInDatabaseSettings{.endpoint = this->settings.endpoint,
                                       .primary = this->settings.primary,
                                       .primaryAddress = this->settings.primaryAddress,
                                       .connectionLimit = this->settings.connectionLimit})
    , faults(this->settings.lag, this->settings.exchangeDelay)
    , replicator(this->database, this->faults, this->executor, this->settings.pullWait)
    , server(HttpServerSettings{.address = this->settings.address,
                                .workerThreads =
                                    static_cast<std::size_t>(this->settings.connectionLimit)
                                    + EXTRA_WORKERS},
             HttpServerHooks{
                 .handle = [this](const HttpRequest &request) { return this->handle(request); },
                 .opened = {},
                 .closed =
                     [this](std::uint64_t connection) {
                         this->database.closed(connection);
                     }})
{
    assert(this->hooks.crash && "hooks.crash must be set");
    if (!this->settings.faultAddress.empty()) {
        this->faultServer = std::make_unique<HttpServer>(
            HttpServerSettings{.address = this->settings.faultAddress,
                               .workerThreads = FAULT_WORKERS},
            HttpServerHooks{
                .handle = [this](const HttpRequest &request) { return this->handleFault(request); },
                .opened = {},
                .closed = {}});
    }
}

auto StandInServer::start() -> absl::Status
{
    auto status = this->server.start();
    if (status.ok() && this->faultServer)
        status = this->faultServer->start();
    if (status.ok()) {
        this->executor.post([this] { this->announce(); });
        this->replicator.restart();
    }
    return status;
}

auto StandInServer::release() -> void
{
    this->faults.stop();
}

auto StandInServer::stop() -> void
{
    this->faults.stop();
    if (this->faultServer)
        this->faultServer->stop();
    this->server.stop();
}

auto StandInServer::port() const -> std::uint16_t
{
    return this->server.port();
}

auto StandInServer::handle(const HttpRequest &request) -> HttpResponse
{
    if (request.target.starts_with("/fault"))
        return this->handleFault(request);
    this->faults.record(request);
    if (!this->faults.admit(senderOf(request)))
        return HttpResponse{.status = STATUS_UNAVAILABLE, .headers = {}, .closeConnection = true};
    auto response = this->route(request);
    this->faults.holdWhileFrozen();
    return response;
}

auto StandInServer::route(const HttpRequest &request) -> HttpResponse
{
    if (request.target == "/fence" || request.target == "/promote" || request.target == "/follow")
        return this->handleControl(request);
    if (request.target == "/log")
        return this->handleLog(request);
    return this->handleOperation(request);
}

auto StandInServer::handleControl(const HttpRequest &request) -> HttpResponse
{
    if (request.target == "/fence") {
        const auto fence = decodeFenceRequest(request);
        if (!fence.ok())
            return badRequest(fence.status());
        const auto answer = this->database.fence(fence->term, this->executor.now());
        this->roleChanged();
        return encodeFenceResponse(answer, fence->exchangeId);
    }
    if (request.target == "/promote") {
        const auto promote = decodePromoteRequest(request);
        if (!promote.ok())
            return badRequest(promote.status());
        return this->answerControl(promote->exchangeId,
                                   this->database.promote(promote->term, this->executor.now()));
    }
    const auto follow = decodeFollowRequest(request);
    if (!follow.ok())
        return badRequest(follow.status());
    return this->answerControl(
        follow->exchangeId,
        this->database.follow(follow->term, follow->primary, this->executor.now()));
}

auto StandInServer::answerControl(const std::string &exchangeId, bool accepted) -> HttpResponse
{
    this->roleChanged();
    this->executor.post([this] {
        for (const auto &entry : this->settings.entries)
            this->announceTo(entry);
    });
    const auto status = this->database.run(
        0, EndpointRequest{.operation = EndpointOperation::Status}, this->executor.now());
    return encodeControlResponse(ControlResponse{
        .exchangeId = exchangeId, .accepted = accepted, .highestTerm = status.term});
}

auto StandInServer::handleFault(const HttpRequest &request) -> HttpResponse
{
    if (request.method == "GET" && request.target == "/fault/received") {
        return HttpResponse{.status = 200,
                            .headers = {},
                            .body = this->faults.received(),
                            .contentType = "text/plain"};
    }
    const auto command = decodeFaultCommand(request);
    if (!command.ok())
        return badRequest(command.status());
    this->faults.apply(*command);
    if (command->kind == FaultKind::Crash)
        this->hooks.crash();
    else if (command->kind == FaultKind::Reset)
        this->database.reset();
    else if (command->kind == FaultKind::Leaving)
        this->database.setLeaving(command->on);
    return encodeControlResponse(
        ControlResponse{.exchangeId = command->exchangeId, .accepted = true, .highestTerm = 0});
}

auto StandInServer::handleLog(const HttpRequest &request) -> HttpResponse
{
    const auto pull = decodeLogRequest(request);
    if (!pull.ok())
        return badRequest(pull.status());
    const auto deadline = this->executor.now() + std::min<Duration>(pull->waitLimit, MAX_WAIT);
    while (true) {
        const auto seen = this->faults.changes();
        auto answer = this->database.serveLog(*pull);
        const auto waits =
            answer.matches && answer.entries.empty() && answer.primary && answer.term == pull->term;
        if (!waits || !this->faults.waitForChange(seen, deadline))
            return encodeLogResponse(answer);
    }
}

auto StandInServer::handleOperation(const HttpRequest &request) -> HttpResponse
{
    const auto decoded = decodeEndpointRequest(request);
    if (!decoded.ok())
        return badRequest(decoded.status());
    const auto connection = connectionOf(request);
    const auto opens = decoded->operation == EndpointOperation::Connect
                       || decoded->operation == EndpointOperation::Execute
                       || decoded->operation == EndpointOperation::Begin;
    if (opens && !this->database.isConnected(connection))
        this->faults.pause(this->settings.connectDelay);
    const auto answer = decoded->operation == EndpointOperation::Await
                            ? this->await(connection, *decoded)
                            : this->database.run(connection, *decoded, this->executor.now());
    if (answer.refusal == EndpointRefusal::None
        && (decoded->mode == AccessMode::Write || decoded->operation == EndpointOperation::Commit))
        this->faults.notifyChange();
    return this->faults.distort(answer);
}

auto StandInServer::await(std::uint64_t connection, const EndpointRequest &request)
    -> EndpointResponse
{
    const auto deadline = this->executor.now() + std::min<Duration>(request.waitLimit, MAX_WAIT);
    while (true) {
        const auto seen = this->faults.changes();
        auto answer = this->database.run(connection, request, this->executor.now());
        if (answer.refusal != EndpointRefusal::Behind
            || !this->faults.waitForChange(seen, deadline))
            return answer;
    }
}

auto StandInServer::roleChanged() -> void
{
    this->faults.notifyChange();
    this->replicator.restart();
}

auto StandInServer::announce() -> void
{
    for (const auto &entry : this->settings.entries)
        this->executor.post([this, entry] { this->announceTo(entry); });
    this->executor.postAfter(this->settings.announceInterval, [this] { this->announce(); });
}

auto StandInServer::announceTo(const std::string &entry) -> void
{
    if (this->faults.isSilentTo(hostOf(entry)) || this->faults.isSilentTo(entry))
        return;
    const auto state = this->database.run(
        0, EndpointRequest{.operation = EndpointOperation::Status}, this->executor.now());
    const auto request =
        encodeAnnouncement(Announcement{.endpoint = this->settings.endpoint,
                                        .group = this->settings.group,
                                        .zone = this->settings.zone,
                                        .address = this->settings.address,
                                        .labels = {},
                                        .term = state.term,
                                        .position = state.position,
                                        .primary = state.primary,
                                        .leaving = state.leaving,
                                        .connectionLimit = this->settings.connectionLimit});
    std::ignore = exchangeOnce(entry, request, ANNOUNCE_TIMEOUT);
}

} // namespace auburnrail
