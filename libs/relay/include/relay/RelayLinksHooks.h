#ifndef AUBURNRAIL_RELAY_RELAYLINKSHOOKS_H
#define AUBURNRAIL_RELAY_RELAYLINKSHOOKS_H

#include <relay/RelayCodec.h>
#include <relay/RelayLoad.h>
#include <relay/RelayRefusal.h>

#include <core/Executor.h>

#include <functional>
#include <string>

namespace auburnrail {

/// What the origin's side of relaying needs from the entry. Hooks are called with no mutex held.
struct RelayLinksHooks
{
    RelayCodec codec;
    Executor executor;
    std::string instance; ///< Name of this entry.
    std::string clusterSecret;

    /// The link to the peer broke or could not be opened.
    std::function<auto(const std::string &instance, const std::string &reason)->void> peerFailed;

    /// The peer refused a request for a reason of its own, see concernsHolder().
    std::function<auto(const std::string &instance, RelayRefusal refusal)->void> peerRefused;

    /// What a response tells about a server. `sentAt`: when this entry sent the request.
    std::function<auto(const std::string &endpoint, const RelayLoad &load, TimePoint sentAt)->void>
        loadReported;
};

} // namespace auburnrail

#endif
