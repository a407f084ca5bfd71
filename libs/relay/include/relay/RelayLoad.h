#ifndef AUBURNRAIL_RELAY_RELAYLOAD_H
#define AUBURNRAIL_RELAY_RELAYLOAD_H

#include <core/Position.h>
#include <core/Time.h>

#include <cstdint>
#include <optional>

namespace auburnrail {

/// What a holder knows of a server and of its group's primary when it responds.
struct RelayLoad
{
    std::uint32_t inFlight = 0; ///< Statements of the holder at the server.
    Duration responseTime{};    ///< Moving average; 0: not measured.
    std::uint64_t primaryTerm = 0;
    /// Newest position that the primary of `primaryTerm` reported to the holder.
    std::optional<Position> primaryPosition;
    Duration primaryAge{}; ///< Since the request was sent to which the primary reported it.

    auto operator==(const RelayLoad &) const -> bool = default;
};

} // namespace auburnrail

#endif
