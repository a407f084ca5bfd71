#ifndef AUBURNRAIL_ENTRY_ENTRYOPERATORS_H
#define AUBURNRAIL_ENTRY_ENTRYOPERATORS_H

#include <entry/EntryTables.h>

#include <http/HttpServer.h>
#include <settings/EntrySettings.h>

#include <absl/status/status.h>

#include <atomic>

namespace auburnrail {

/// The operators' port of an entry: health, readiness, metrics, explanations and the burn report of
/// this instance. GET only.
class EntryOperators
{
public:
    /// `entryTables` must outlive this object.
    EntryOperators(const EntrySettings &settings, EntryTables &entryTables);

    /// Starts to listen. `kUnavailable` when the address can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// False makes /readyz fail from now on, so that the balancer sends no new callers.
    auto setReady(bool value) -> void;

    auto stop() -> void;

private:
    [[nodiscard]] auto handle(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto readiness() -> HttpResponse;

    EntryTables &tables;
    std::atomic<bool> mayBeReady{true};
    HttpServer server;
};

} // namespace auburnrail

#endif
