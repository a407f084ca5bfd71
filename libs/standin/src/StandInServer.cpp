#include <standin/StandInServer.h>

#include <endpoint/EndpointCodec.h>
#include <http/HttpConnection.h>

#include <string>

namespace auburnrail {

namespace {

constexpr auto STATUS_BAD_REQUEST = 400;
constexpr auto ANNOUNCE_TIMEOUT = std::chrono::milliseconds(500);

} // namespace

StandInServer::StandInServer(StandInSettings standInSettings, Executor serverExecutor)
    : settings(std::move(standInSettings))
    , executor(std::move(serverExecutor))
    , database(this->settings.primary)
    , server(HttpServerSettings{.address = this->settings.address,
                                .workerThreads =
                                    static_cast<std::size_t>(this->settings.connectionLimit) + 1},
             HttpServerHooks{
                 .handle = [this](const HttpRequest &request) { return this->handle(request); },
                 .opened = {},
                 .closed = {}})
{
}

auto StandInServer::start() -> absl::Status
{
    auto status = this->server.start();
    if (status.ok())
        this->executor.post([this] { this->announce(); });
    return status;
}

auto StandInServer::stop() -> void
{
    this->server.stop();
}

auto StandInServer::handle(const HttpRequest &request) -> HttpResponse
{
    const auto decoded = decodeEndpointRequest(request);
    if (!decoded.ok()) {
        return HttpResponse{.status = STATUS_BAD_REQUEST,
                            .headers = {},
                            .body = std::string(decoded.status().message())};
    }
    return encodeEndpointAnswer(this->database.run(*decoded));
}

auto StandInServer::announce() -> void
{
    const auto state = this->database.run(
        EndpointRequest{.exchangeId = "announce", .operation = EndpointOperation::Status});
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
    for (const auto &entry : this->settings.entries)
        std::ignore = exchangeOnce(entry, request, ANNOUNCE_TIMEOUT);
    this->executor.postAfter(this->settings.announceInterval, [this] { this->announce(); });
}

} // namespace auburnrail
