#ifndef AUBURNRAIL_CONTROL_ENTRYRECORD_H
#define AUBURNRAIL_CONTROL_ENTRYRECORD_H

#include <core/Revision.h>
#include <core/Time.h>

#include <string>

namespace auburnrail {

/// What an entry reported about itself in its last heartbeat.
struct EntryRecord
{
    std::string instance;
    std::string zone;
    std::string operatorsAddress; ///< IP:port
    std::string relayAddress;     ///< IP:port; empty when it runs no statements for others.
    Revision appliedRevision = 0;
    TimePoint lastSeenAt;
};

} // namespace auburnrail

#endif
