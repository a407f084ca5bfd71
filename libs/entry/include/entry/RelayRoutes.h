#ifndef AUBURNRAIL_ENTRY_RELAYROUTES_H
#define AUBURNRAIL_ENTRY_RELAYROUTES_H

#include <peers/RelayPeers.h>
#include <state/FleetObjects.h>

#include <core/RankedMutex.h>
#include <core/Time.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace auburnrail {

/// Decides through which entry a statement reaches its server. Answers the load of a fleet with
/// more entries than its servers accept connections: each statement would need a connection of its
/// own, and opening it costs the server as much as a statement. Thread-safe.
class RelayRoutes
{
public:
    /// Long enough for a failover to begin; see FailoverLimits::confirmationDelay.
    static constexpr auto ASK_DIRECTLY_FOR_MS = std::chrono::milliseconds(3000);

    /// `instance` is this entry. `relayPeers` must outlive this object.
    RelayRoutes(std::string ownInstance, RelayPeers &relayPeers);

    /// Must be called when the state or the number of entries has changed.
    auto update(const FleetObjects &objects, std::size_t entries) -> void;

    /// The entry that holds the connections of the organisation to the server; nothing when this
    /// entry uses its own.
    [[nodiscard]] auto holderOf(std::string_view endpoint, std::string_view organisation,
                                TimePoint now) -> std::optional<RelayPeer>;

    /// The status holder knows of no response of the server, so that this entry asks the server
    /// itself for ASK_DIRECTLY_FOR_MS. Suspicion of a primary rests on what each entry sees, and
    /// must not wait for the holder's attempt before each of its own.
    auto statusUnknown(const std::string &endpoint, TimePoint now) -> void;

    /// The entry that knows the status of the server; nothing when this entry asks the server.
    [[nodiscard]] auto statusHolderOf(std::string_view endpoint, TimePoint now)
        -> std::optional<RelayPeer>;

private:
    /// Zone of a server whose statements are passed on; empty for any other server.
    [[nodiscard]] auto zoneOf(std::string_view endpoint) -> std::string;
    [[nodiscard]] auto asksDirectly(std::string_view endpoint, TimePoint now) -> bool;
    [[nodiscard]] auto unlessOwn(std::optional<RelayPeer> peer) const -> std::optional<RelayPeer>;

    const std::string instance;
    RelayPeers &peers;
    RankedMutex mutex{LockRank::RelayRoutes};
    std::map<std::string, std::string, std::less<>>
        zones ABSL_GUARDED_BY(mutex); ///< By server, for those whose statements are passed on.
    std::map<std::string, TimePoint, std::less<>>
        askDirectlyUntil ABSL_GUARDED_BY(mutex); ///< By server.
};

} // namespace auburnrail

#endif
