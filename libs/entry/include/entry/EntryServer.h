#ifndef AUBURNRAIL_ENTRY_ENTRYSERVER_H
#define AUBURNRAIL_ENTRY_ENTRYSERVER_H

#include <entry/EntryTables.h>
#include <entry/RequestRunner.h>

#include <http/HttpServer.h>
#include <settings/EntrySettings.h>

#include <absl/status/status.h>

#include <atomic>

namespace auburnrail {

/// HTTP server of an entry for callers: statements, transactions and endpoint announcements.
class EntryServer
{
public:
    /// `entryTables` must outlive this object.
    EntryServer(const EntrySettings &settings, EntryTables &entryTables);

    /// Starts listening. `kUnavailable` when the address can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// Accepts no more connections and closes each open one after its next response. Refuses new
    /// transactions; open ones may continue until stop().
    auto drain() -> void;

    /// Number of requests and transactions in progress.
    [[nodiscard]] auto unfinishedWork() -> std::size_t;

    /// Finishes the requests in progress and closes every connection.
    auto stop() -> void;

private:
    [[nodiscard]] auto handle(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto handleAnnouncement(const HttpRequest &request) -> HttpResponse;

    EntryTables &tables;
    RequestRunner runner;
    std::atomic<bool> draining{false};
    HttpServer server;
};

} // namespace auburnrail

#endif
