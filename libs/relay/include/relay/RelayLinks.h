#ifndef AUBURNRAIL_RELAY_RELAYLINKS_H
#define AUBURNRAIL_RELAY_RELAYLINKS_H

#include <relay/RelayLinksHooks.h>
#include <relay/RelayMessages.h>
#include <relay/detail/RelayLink.h>

#include <net/IoPool.h>
#include <peers/RelayPeer.h>
#include <proxy/PooledConnection.h>

#include <core/RankedMutex.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace auburnrail {

/// The links of an entry to the peers that run statements for it, one for each peer. A link is
/// opened for its first channel and closed when it was unused for RELAY_UNUSED_LIMIT_S.
/// Thread-safe.
class RelayLinks
{
public:
    /// `ioPool` must outlive this object.
    RelayLinks(IoPool &ioPool, RelayLinksHooks linksHooks);

    /// A connection of the peer, for one statement or transaction. Returns at once: the peer leases
    /// it with the first request. A request that the peer did not send to the server ends as
    /// ServerPhase::NotSent.
    [[nodiscard]] auto openChannel(const RelayPeer &peer, const RelayOpening &opening)
        -> PooledConnectionPointer;

    /// Asks the peer for the status of a server. `done` receives nothing when it doesn't respond
    /// within `timeLimit`; `sentAt` is when the request was sent.
    using StatusDone =
        std::function<auto(std::optional<RelayStatusResponse> response, TimePoint sentAt)->void>;
    auto requestStatus(const RelayPeer &peer, const std::string &endpoint, Duration timeLimit,
                       StatusDone done) -> void;

    /// Asks silent peers for a sign of life, and closes broken and unused links. Must be called
    /// every few tens of milliseconds.
    auto advance(TimePoint now) -> void;

private:
    [[nodiscard]] auto linkTo(const RelayPeer &peer) -> std::shared_ptr<detail::RelayLink>;

    IoPool &ioPool;
    const std::shared_ptr<const RelayLinksHooks> hooks;
    RankedMutex mutex{LockRank::RelayLinks};
    std::map<std::string, std::shared_ptr<detail::RelayLink>>
        links ABSL_GUARDED_BY(mutex); ///< By address.
};

} // namespace auburnrail

#endif
