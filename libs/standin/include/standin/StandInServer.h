#ifndef AUBURNRAIL_STANDIN_STANDINSERVER_H
#define AUBURNRAIL_STANDIN_STANDINSERVER_H

#include <standin/StandInDatabase.h>
#include <standin/StandInSettings.h>

#include <http/HttpServer.h>

#include <core/Executor.h>

#include <absl/status/status.h>

namespace auburnrail {

/// One emulated database server: listens for the endpoint protocol and announces itself.
class StandInServer
{
public:
    /// `executor` runs the announcements and must outlive this object's start().
    StandInServer(StandInSettings standInSettings, Executor serverExecutor);

    /// Starts to listen and to announce. `kUnavailable` when the address can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// Ends every connection.
    auto stop() -> void;

private:
    [[nodiscard]] auto handle(const HttpRequest &request) -> HttpResponse;
    auto announce() -> void;

    StandInSettings settings;
    Executor executor;
    StandInDatabase database;
    HttpServer server;
};

} // namespace auburnrail

#endif
