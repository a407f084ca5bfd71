#ifndef AUBURNRAIL_WIRE_HEARTBEATPAYLOADS_H
#define AUBURNRAIL_WIRE_HEARTBEATPAYLOADS_H

#include "EncodedPayloads.h"

#include <state/FleetSnapshot.h>
#include <state/FleetUpdate.h>
#include <wire/FleetCodec.h>

namespace auburnrail::detail {

/// Encoded state changes of the last heartbeat responses. Thread-safe.
struct HeartbeatPayloads
{
    EncodedPayloads<FleetUpdate> updates{encodeChanges};
    EncodedPayloads<FleetSnapshot> snapshots{encodeSnapshot};
};

} // namespace auburnrail::detail

#endif
