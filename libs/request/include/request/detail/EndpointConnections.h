#ifndef AUBURNRAIL_REQUEST_DETAIL_ENDPOINTCONNECTIONS_H
#define AUBURNRAIL_REQUEST_DETAIL_ENDPOINTCONNECTIONS_H

#include <request/ConnectionHandle.h>
#include <request/ConnectionPoolStats.h>
#include <request/WaiterQueue.h>

#include <core/Time.h>

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace auburnrail::detail {

/// Connections and waiters of one endpoint of a ConnectionPool.
struct EndpointConnections
{
    using Done = std::function<auto(absl::StatusOr<ConnectionHandle>)->void>;

    /// A waiter's deadline and callback.
    struct Waiting
    {
        TimePoint deadline;
        Done done;
    };

    std::size_t limit = 0;
    bool removed = false;
    std::vector<std::uint64_t> idle; ///< Most recently used last.
    std::set<std::uint64_t> inUse;
    std::set<std::uint64_t> opening;
    WaiterQueue queue;
    std::map<std::uint64_t, Waiting> waiting;
};

} // namespace auburnrail::detail

#endif
