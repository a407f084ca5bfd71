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

/// Bounded queue that divides slots and waiting places between organisations by weight, using
/// start-time fair queueing (Goyal, Vin and Cheng 1996): a slot goes to the organisation that has
/// received the least service relative to its weight, in FIFO order within an organisation.
///
/// When all places are taken, one waiter is refused, possibly the new one: among the organisations
/// that hold more than their fair share of the places, the waiter with the least slack before its
/// deadline. An organisation within its fair share never loses a place to one above its own.
///
/// To queue for connections, set `slots` to the number of connections and call `release` for each
/// slot that is freed. To queue for tokens, use no slots and call `admitNext` whenever a token of
/// an organisation was taken. Thread-safe.
class FairQueue
{
public:
    FairQueue(std::size_t slots, std::size_t places, FairQueueHooks hooks);

    /// Requests a slot. May refuse other waiters through the hooks.
    [[nodiscard]] auto enqueue(Waiter waiter, TimePoint now) -> Admission;

    /// Frees a slot and admits the next waiter.
    auto release(TimePoint now) -> void;

    /// Admits the first waiter of `organisation` without a slot. Returns false when none waits.
    auto admitNext(std::string_view organisation, TimePoint now) -> bool;

    /// Removes a waiter whose caller has disconnected; no hook is called for it. Returns false when
    /// it is not in the queue.
    auto cancel(WaiterId waiter) -> bool;

    /// Refuses the waiters that can no longer meet their deadline.
    auto expire(TimePoint now) -> void;

    /// Changes the number of slots. Slots in use stay in use until they are released.
    auto setSlots(std::size_t count, TimePoint now) -> void;

    /// Earliest time at which `expire` refuses a waiter.
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
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto eraseIdleFlows() -> void;
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
    std::size_t eraseIdleAbove
        ABSL_GUARDED_BY(mutex); ///< Number of flows above which idle ones are erased.
};

} // namespace auburnrail

#endif
