#ifndef AUBURNRAIL_HTTP_DETAIL_SERVERSTATE_H
#define AUBURNRAIL_HTTP_DETAIL_SERVERSTATE_H

#include <http/HttpServer.h>

#include <core/RankedMutex.h>

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace auburnrail::detail {

/// What the connections of one HttpServer share.
class ServerState
{
public:
    /// `workerThreads` is the number of connections that are served at one time.
    ServerState(HttpServerHooks serverHooks, std::size_t maxBody, std::size_t workerThreads);

    /// Registers an accepted connection. Empty when the `opened` hook refused it.
    auto open(const Poco::Net::StreamSocket &socket) -> std::optional<std::uint64_t>;

    /// Removes a connection and calls the `closed` hook.
    auto close(std::uint64_t connection, const std::string &peer) -> void;

    /// Number of the open connection from `peer` (IP:port).
    auto connectionOf(const std::string &peer) -> std::uint64_t;

    /// Whether so many connections hold a worker that one has to be closed after its response. An
    /// idle connection holds its worker, and connections beyond the number of workers wait.
    auto isCrowded() -> bool;

    /// Ends connections that wait for their next request. Requests under way are finished.
    auto closeIdleConnections() -> void;

    const HttpServerHooks hooks;
    const std::size_t maxBodyBytes;
    const std::size_t maxKeptConnections;
    std::atomic<std::size_t> activeRequests{0};
    std::atomic<bool> draining{false};

private:
    struct OpenConnection
    {
        std::uint64_t number;
        Poco::Net::StreamSocket socket;
    };

    RankedMutex mutex{LockRank::Connection};
    std::map<std::string, OpenConnection> connections ABSL_GUARDED_BY(mutex);
    std::uint64_t lastNumber ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace auburnrail::detail

#endif
