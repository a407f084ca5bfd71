#ifndef AUBURNRAIL_REQUEST_REPLICATIONHOOKS_H
#define AUBURNRAIL_REQUEST_REPLICATIONHOOKS_H

#include <core/Position.h>

#include <functional>
#include <string>

namespace auburnrail {

/// Side effects of a ReplicationTracker, called without holding its mutex.
struct ReplicationHooks
{
    /// Sends Await to the endpoint, then calls ReplicationTracker::awaitEnded().
    std::function<
        auto(const std::string &group, const std::string &endpoint, Position position)->void>
        sendAwait;
};

} // namespace auburnrail

#endif
