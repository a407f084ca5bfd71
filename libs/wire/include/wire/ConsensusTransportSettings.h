#ifndef AUBURNRAIL_WIRE_CONSENSUSTRANSPORTSETTINGS_H
#define AUBURNRAIL_WIRE_CONSENSUSTRANSPORTSETTINGS_H

#include <core/Time.h>

#include <cstddef>
#include <string>

namespace auburnrail {

/// Where a ConsensusTransport listens, and its limits.
struct ConsensusTransportSettings
{
    std::string address;         ///< IP:port; port 0 lets the system choose one.
    std::size_t queueLimit = 64; ///< Messages waiting for one member; the oldest are dropped.
    Duration connectTimeout = std::chrono::milliseconds(500);

    /// Limit for handing a message to the system, and for its receipt by the other system. Without
    /// the latter, a connection through a silent partition would go on being used after it heals,
    /// with retransmissions up to two minutes apart.
    Duration sendTimeout = std::chrono::milliseconds(1000);

    Duration minBackoff = std::chrono::milliseconds(50); ///< After the first failed connect.
    Duration maxBackoff = std::chrono::milliseconds(1000);
};

} // namespace auburnrail

#endif
