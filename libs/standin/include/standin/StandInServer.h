#ifndef AUBURNRAIL_STANDIN_STANDINSERVER_H
#define AUBURNRAIL_STANDIN_STANDINSERVER_H

#include <standin/StandInDatabase.h>
#include <standin/StandInFaults.h>
#include <standin/StandInReplicator.h>
#include <standin/StandInServerHooks.h>
#include <standin/StandInSettings.h>

#include <http/HttpServer.h>

#include <core/Executor.h>

#include <absl/status/status.h>

#include <memory>
#include <string>

namespace auburnrail {

/// One emulated database server: listens for the endpoint protocol, announces itself, pulls the log
/// and injects faults. `x-auburnrail-instance` names the sender of a request for the `cut` fault;
/// without it, its IP address does.
class StandInServer
{
public:
    /// `executor` runs announcements and pulls; both block, so it needs several workers. It must be
    /// stopped before stop().
    StandInServer(StandInSettings standInSettings, Executor serverExecutor,
                  StandInServerHooks serverHooks);

    /// Starts to listen, to announce and, as a replica, to pull. `kUnavailable` when an address
    /// can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// Ends held exchanges, so that the executor's workers and stop() don't wait for them.
    auto release() -> void;

    /// Ends every connection.
    auto stop() -> void;

    /// Port in use after start().
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    [[nodiscard]] auto handle(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto route(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto handleControl(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto handleFault(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto handleLog(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto handleOperation(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto await(std::uint64_t connection, const EndpointRequest &request)
        -> EndpointResponse;
    [[nodiscard]] auto answerControl(const std::string &exchangeId, bool accepted) -> HttpResponse;
    auto roleChanged() -> void;
    auto announce() -> void;
    auto announceTo(const std::string &entry) -> void;

    StandInSettings settings;
    Executor executor;
    StandInServerHooks hooks;
    StandInDatabase database;
    StandInFaults faults;
    StandInReplicator replicator;
    HttpServer server;
    std::unique_ptr<HttpServer> faultServer; ///< Answers while the other one is frozen.
};

} // namespace auburnrail

#endif
