#ifndef AUBURNRAIL_LEASE_HEARTBEATTICKET_H
#define AUBURNRAIL_LEASE_HEARTBEATTICKET_H

#include <core/Revision.h>
#include <core/Time.h>

namespace auburnrail {

/// One heartbeat under way, kept by the entry until its reply.
struct HeartbeatTicket
{
    TimePoint sentAt{};    ///< By the entry's clock; the lease counts from here.
    Revision revision = 0; ///< Revision that the heartbeat names.
};

} // namespace auburnrail

#endif
