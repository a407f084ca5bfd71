#ifndef AUBURNRAIL_ENTRY_ENTRYSERVER_H
#define AUBURNRAIL_ENTRY_ENTRYSERVER_H

#include <entry/AnnouncedEndpoints.h>

#include <http/HttpServer.h>
#include <request/CallerAnswer.h>
#include <request/CallerRequest.h>
#include <settings/EntrySettings.h>

#include <core/RandomSource.h>
#include <core/Time.h>

#include <absl/status/status.h>

namespace auburnrail {

/// The callers' side of one entry instance.
class EntryServer
{
public:
    EntryServer(const EntrySettings &settings, Clock entryClock, RandomSource entryRandom);

    /// Starts to listen. `kUnavailable` when the address can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// Finishes the requests under way and ends every connection.
    auto stop() -> void;

private:
    [[nodiscard]] auto handle(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto handleAnnouncement(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto serve(const CallerRequest &request) -> CallerAnswer;

    Clock clock;
    RandomSource random;
    AnnouncedEndpoints endpoints;
    HttpServer server;
};

} // namespace auburnrail

#endif
