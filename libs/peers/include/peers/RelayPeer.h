#ifndef AUBURNRAIL_PEERS_RELAYPEER_H
#define AUBURNRAIL_PEERS_RELAYPEER_H

#include <string>

namespace auburnrail {

/// An entry that runs statements for other entries on its own connections to servers.
struct RelayPeer
{
    std::string instance;
    std::string zone;
    std::string address; ///< IP:port of its relay port.

    auto operator==(const RelayPeer &) const -> bool = default;
};

} // namespace auburnrail

#endif
