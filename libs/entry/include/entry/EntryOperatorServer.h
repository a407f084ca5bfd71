#ifndef AUBURNRAIL_ENTRY_ENTRYOPERATORSERVER_H
#define AUBURNRAIL_ENTRY_ENTRYOPERATORSERVER_H

#include <entry/EntryTables.h>

#include <http/HttpServer.h>
#include <settings/EntrySettings.h>

#include <absl/status/status.h>

#include <atomic>

namespace auburnrail {

/// HTTP server of an entry for operators: health, readiness, metrics, explanations and the burn
/// report of this instance. GET only.
class EntryOperatorServer
{
public:
    /// `entryTables` must outlive this object.
    EntryOperatorServer(const EntrySettings &settings, EntryTables &entryTables);

    /// Starts listening. `kUnavailable` when the address can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// False makes /readyz fail from now on, so that the balancer sends no new callers.
    auto setReady(bool value) -> void;

    auto stop() -> void;

private:
    [[nodiscard]] auto handle(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto readiness() -> HttpResponse;

    EntryTables &tables;
    std::atomic<bool> readyAllowed{true};
    HttpServer server;
};

} // namespace auburnrail

#endif
