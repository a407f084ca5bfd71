#ifndef AUBURNRAIL_LEASE_HEARTBEATTICKET_H
#define AUBURNRAIL_LEASE_HEARTBEATTICKET_H

#include <core/Revision.h>
#include <core/Time.h>

namespace auburnrail {

/// A heartbeat in flight; the entry keeps the ticket until the response arrives.
struct HeartbeatTicket
{
    TimePoint sentAt{};    ///< On the entry's clock; the lease duration starts here.
    Revision revision = 0; ///< Applied revision that the heartbeat reports.
};

} // namespace auburnrail

#endif
