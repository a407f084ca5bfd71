#ifndef AUBURNRAIL_RELAY_DETAIL_HELDCHANNEL_H
#define AUBURNRAIL_RELAY_DETAIL_HELDCHANNEL_H

#include <relay/RelayMessages.h>

#include <proxy/PooledConnection.h>

#include <core/Time.h>

#include <deque>
#include <optional>

namespace auburnrail::detail {

/// A channel at its holder. Belongs to the executor of its link.
struct HeldChannel
{
    RelayOpening opening;
    TimePoint openedAt;
    PooledConnectionPointer connection; ///< Null until one is leased.
    SessionValues values;
    bool inTransaction = false;
    bool ended = false; ///< By the origin, while a request was in progress.

    std::optional<RelayRequest> current; ///< In progress.
    TimePoint receivedAt;                ///< When the current request arrived.
    std::deque<ServerRequest> preparations;
};

} // namespace auburnrail::detail

#endif
