#ifndef AUBURNRAIL_PROXY_DETAIL_SERVERPOOLSTATE_H
#define AUBURNRAIL_PROXY_DETAIL_SERVERPOOLSTATE_H

#include <proxy/IdlePolicy.h>
#include <request/ConnectionHandle.h>

#include <core/DecayingAverage.h>
#include <core/Time.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace auburnrail::detail {

/// Connections and waiters of one server in a ServerConnectionPool.
struct ServerPoolState
{
    using Done = std::function<auto(absl::StatusOr<ConnectionHandle>)->void>;

    struct Idle
    {
        std::uint64_t id = 0;
        std::string organisation;
        TimePoint since;
    };

    struct Use
    {
        std::string organisation;
        bool opensTransaction = false;
        TimePoint since;
    };

    struct Opening
    {
        std::string organisation;
        TimePoint since;
    };

    struct Waiter
    {
        std::string organisation;
        bool anyOrganisation = false;
        std::uint32_t priority = 0;
        TimePoint since;
        TimePoint objectiveEnd;
        TimePoint deadline;
        bool opensTransaction = false;
        Done done;
    };

    std::size_t limit = 0;
    IdlePolicy idlePolicy = IdlePolicy::Keep;
    bool removed = false;
    std::vector<Idle> idle; ///< Ordered by idle time, longest first.
    std::map<std::uint64_t, Use> inUse;
    std::map<std::uint64_t, Opening> opening;
    DecayingAverage openingTime;
    DecayingAverage runTime;   ///< Of single statements, with the wait for the server's capacity.
    std::list<Waiter> waiters; ///< In the order in which they are served.
    TimePoint
        fullUntil; ///< Until this time no connection is opened, because the server had none left.

    [[nodiscard]] auto used() const -> std::size_t
    {
        return this->idle.size() + this->inUse.size() + this->opening.size();
    }
};

} // namespace auburnrail::detail

#endif
