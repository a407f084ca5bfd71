#ifndef AUBURNRAIL_RELAY_RELAYSERVERHOOKS_H
#define AUBURNRAIL_RELAY_RELAYSERVERHOOKS_H

#include <relay/RelayCodec.h>
#include <relay/RelayLoad.h>
#include <relay/RelayOpening.h>
#include <relay/RelayRefusal.h>

#include <proxy/ConnectionRequest.h>
#include <proxy/Placement.h>
#include <proxy/PooledConnection.h>

#include <core/Executor.h>
#include <core/RandomSource.h>
#include <core/RefusalHook.h>

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>

namespace auburnrail {

/// What the holder's side of relaying needs from the entry.
struct RelayServerHooks
{
    RelayCodec codec;
    Clock now;
    std::string clusterSecret;
    RandomSource random; ///< Must be secure: nonces are made of it.

    /// Whether this entry may send a request to the server now, by its own lease and state. Asked
    /// again right before the request is sent, since a holder may have been suspended meanwhile. A
    /// transaction that is open may go on at a server that is leaving.
    std::function<
        auto(const RelayOpening &opening, bool inTransaction, TimePoint now)->RelayRefusal>
        refusalOf;

    /// Leases a connection of this entry itself, with the errors of StatementHooks::lease.
    std::function<auto(const Placement &placement, const ConnectionRequest &request,
                       std::function<auto(absl::StatusOr<PooledConnectionPointer>)->void> done)
                      ->void>
        lease;
    std::function<auto(const PooledConnectionPointer &connection, bool reusable)->void> release;
    std::function<auto(const PooledConnection &connection, const ServerOutcome &outcome)->void>
        observe;

    std::function<auto(const std::string &endpoint)->RelayLoad> loadOf;

    /// Position of a server and the age of what is known of it; nothing when it didn't respond.
    struct Status
    {
        Position position;
        Duration age{};
    };
    std::function<auto(const std::string &endpoint,
                       std::function<auto(std::optional<Status>)->void> done)
                      ->void>
        status;

    RefusalHook acceptRefused; ///< May be empty.
    /// A peer was turned away because its messages could not be read or authenticated.
    std::function<auto(const std::string &reason)->void> peerRejected;
};

} // namespace auburnrail

#endif
