#ifndef AUBURNRAIL_QUOTA_FAIRQUEUE_H
#define AUBURNRAIL_QUOTA_FAIRQUEUE_H

#include <quota/Admission.h>
#include <quota/FairQueueHooks.h>
#include <quota/Waiter.h>
#include <quota/detail/QueueEvents.h>
#include <quota/detail/QueueFlow.h>

#include <core/RankedMutex.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace auburnrail {

/// Bounded queue that shares slots and waiting places between organisations by weight, with
/// start-time fair queueing (Goyal, Vin and Cheng 1996): slots go to the organisation that had the
/// least service for its weight, first come first served within an organisation.
///
/// When all places are taken, one waiter of the organisations that hold more than their part of the
/// places is refused, the new one included: the one with the least time to spare. An organisation
/// within its part never loses a place to one above.
///
/// Use for connections: `slots` is the number of connections; call `release` for each slot given
/// back. Use for tokens: no slots; when a token of an organisation was taken, call `admitNext`.
/// Thread rule: all operations are safe from any thread.
class FairQueue
{
public:
    FairQueue(std::size_t slots, std::size_t places, FairQueueHooks hooks);

    /// Asks for a slot. May end another waiter through the hooks.
    [[nodiscard]] auto enqueue(Waiter waiter, TimePoint now) -> Admission;

    /// Gives a slot back and admits the next waiter.
    auto release(TimePoint now) -> void;

    /// Admits the first waiter of `organisation` without a slot. Returns false when none waits.
    auto admitNext(std::string_view organisation, TimePoint now) -> bool;

    /// Removes a waiter whose caller is gone; no hook is called for it. Returns false when it does
    /// not wait.
    auto cancel(WaiterId waiter) -> bool;

    /// Refuses the waiters that can no longer meet their deadline.
    auto expire(TimePoint now) -> void;

    /// Changes the number of slots. Slots in use stay in use until they are released.
    auto setSlots(std::size_t count, TimePoint now) -> void;

    /// When `expire` has something to refuse next.
    [[nodiscard]] auto nextExpiry() -> std::optional<TimePoint>;

    /// Number of waiters of `organisation`.
    [[nodiscard]] auto backlog(std::string_view organisation) -> std::size_t;

private:
    using Flows = std::map<std::string, detail::QueueFlow, std::less<>>;

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto place(Waiter waiter) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto remove(WaiterId waiter) -> Waiter;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto admitFirst(Flows::iterator flow) -> WaiterId;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto refuseExpired(TimePoint now, detail::QueueEvents &events) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto fillSlots(TimePoint now, detail::QueueEvents &events) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto findVictim(TimePoint now) const -> WaiterId;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto forgetIdleFlows() -> void;
    auto callHooks(const detail::QueueEvents &events) -> void;

    const std::size_t places;
    const FairQueueHooks hooks;
    RankedMutex mutex{LockRank::FairQueue};
    std::size_t slots ABSL_GUARDED_BY(mutex);
    std::size_t inUse ABSL_GUARDED_BY(mutex) = 0;
    double virtualTime ABSL_GUARDED_BY(mutex) = 0; ///< Start tag of the last admitted waiter.
    Flows flows ABSL_GUARDED_BY(mutex);
    std::map<WaiterId, std::pair<Flows::iterator, std::list<Waiter>::iterator>>
        waiters ABSL_GUARDED_BY(mutex);
    std::set<std::pair<double, std::string>> byStartTag ABSL_GUARDED_BY(mutex);
    std::set<std::pair<TimePoint, WaiterId>> byLatestStart ABSL_GUARDED_BY(mutex);
    std::size_t
        forgetAbove ABSL_GUARDED_BY(mutex); ///< Flows to keep before idle ones are forgotten.
};

} // namespace auburnrail

#endif
