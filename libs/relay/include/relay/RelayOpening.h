#ifndef AUBURNRAIL_RELAY_RELAYOPENING_H
#define AUBURNRAIL_RELAY_RELAYOPENING_H

#include <core/Time.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// What a holder needs to lease a connection for a channel. Times are lengths, because clocks of
/// instances are never compared.
struct RelayOpening
{
    std::string endpoint;
    std::string group;
    std::string organisation;
    bool isPrimary = false; ///< The server was chosen as the primary of `term`.
    std::uint64_t term = 0; ///< Term of the group.
    std::uint32_t priority = 0;
    Duration objectiveLeft{}; ///< Until a response misses the latency objective; may be negative.
    Duration startLeft{};     ///< Until the statement must have been sent to the server.
    bool opensTransaction = false;

    auto operator==(const RelayOpening &) const -> bool = default;
};

} // namespace auburnrail

#endif
