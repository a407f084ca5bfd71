#ifndef AUBURNRAIL_ENTRY_ENTRYSERVER_H
#define AUBURNRAIL_ENTRY_ENTRYSERVER_H

#include <entry/EntryTables.h>
#include <entry/RequestRunner.h>

#include <http/HttpServer.h>
#include <settings/EntrySettings.h>

#include <absl/status/status.h>

#include <atomic>

namespace auburnrail {

/// The callers' side of one entry instance: statements, transactions and endpoint announcements.
class EntryServer
{
public:
    /// `entryTables` must outlive this object.
    EntryServer(const EntrySettings &settings, EntryTables &entryTables);

    /// Starts to listen. `kUnavailable` when the address can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// Accepts no more connections and ends each open one after its next answer. New transactions
    /// are refused; open ones may go on until stop().
    auto drain() -> void;

    /// Requests and transactions that are under way.
    [[nodiscard]] auto unfinishedWork() -> std::size_t;

    /// Finishes the requests under way and ends every connection.
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
