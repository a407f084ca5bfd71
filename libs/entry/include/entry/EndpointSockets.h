#ifndef AUBURNRAIL_ENTRY_ENDPOINTSOCKETS_H
#define AUBURNRAIL_ENTRY_ENDPOINTSOCKETS_H

#include <http/HttpConnection.h>
#include <request/ConnectionHandle.h>
#include <request/EndpointExchange.h>
#include <request/EndpointRequest.h>

#include <core/RandomSource.h>
#include <core/RankedMutex.h>
#include <core/Time.h>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace auburnrail {

/// Source of the addresses and random numbers that EndpointSockets uses.
struct EndpointSocketsHooks
{
    /// IP:port of an endpoint; nothing when it is not known.
    std::function<auto(const std::string &endpoint)->std::optional<std::string>> resolve;
    RandomSource random; ///< For exchange ids.
};

/// The sockets behind the handles of a ConnectionPool. Calls block. Thread-safe, with at most one
/// exchange at a time on each connection.
class EndpointSockets
{
public:
    explicit EndpointSockets(EndpointSocketsHooks connectionHooks);

    /// Connects and opens the database session of the connection. `kUnavailable` when that fails,
    /// `kResourceExhausted` when the endpoint has no free session.
    [[nodiscard]] auto open(const ConnectionHandle &handle, Duration timeLimit) -> absl::Status;

    /// Closes the connection; an exchange in progress on it fails.
    auto close(const ConnectionHandle &handle) -> void;

    /// Runs one exchange on an open connection.
    [[nodiscard]] auto exchange(const ConnectionHandle &handle, const EndpointRequest &request,
                                Duration timeLimit) -> EndpointExchange;

    /// Runs one exchange on a new connection, for probes and awaits.
    [[nodiscard]] auto exchangeOnce(const std::string &endpoint, EndpointRequest request,
                                    Duration timeLimit) -> EndpointExchange;

private:
    [[nodiscard]] auto find(std::uint64_t id) -> std::shared_ptr<HttpConnection>;

    EndpointSocketsHooks hooks;
    RankedMutex mutex{LockRank::Connection};
    std::map<std::uint64_t, std::shared_ptr<HttpConnection>> connections ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
