#ifndef AUBURNRAIL_ENTRY_RATEADMISSION_H
#define AUBURNRAIL_ENTRY_RATEADMISSION_H

#include <entry/RateAdmissionHooks.h>
#include <request/AdmissionRequest.h>

#include <core/RankedMutex.h>
#include <core/Time.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Admits requests at their organisation's rate. Load patterns: an organisation over its rate, and
/// the backlog after a failure. A request without a token waits in its organisation's bounded
/// queue: those that can meet their latency objective first, then the others, each in order of
/// arrival. One whose deadline can't be met, or that finds the queue full, is refused at once.
/// Decisions only; safe from any thread.
class RateAdmission
{
public:
    /// Waiting places of one organisation, so that one over its rate can't use up the memory.
    static constexpr auto MAX_WAITERS = std::size_t(256);

    explicit RateAdmission(RateAdmissionHooks admissionHooks);

    /// Calls `done` with nothing when the request is admitted, now or later, or with a refusal.
    auto admit(const AdmissionRequest &order, TimePoint now, AdmissionDone done) -> void;

    /// Serves the waiters that have a token now and refuses those whose deadline has passed.
    /// Returns when to call again, or nothing when none waits.
    auto advance(TimePoint now) -> std::optional<TimePoint>;

private:
    struct Waiter
    {
        TimePoint objectiveEnd;
        TimePoint deadline;
        AdmissionDone done;
    };

    struct Ended
    {
        AdmissionDone done;
        std::optional<RequestRefusal> refusal;
    };

    using Queue = std::deque<Waiter>;

    [[nodiscard]] auto refusal(ReasonCode reason, const std::string &organisation, TimePoint now)
        -> RequestRefusal;

    /// Why a request that finds no token is refused at once; nothing when it may wait.
    [[nodiscard]] auto refusalReason(const AdmissionRequest &order, const Queue &queue, TimePoint now)
        -> std::optional<ReasonCode>;

    /// The waiter that gets the next token. The queue is not empty.
    [[nodiscard]] static auto nextOf(Queue &queue, TimePoint now) -> Queue::iterator;

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto refuseExpired(const std::string &organisation, Queue &queue, TimePoint now,
                       std::vector<Ended> &ended) -> void;

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto advanceQueue(const std::string &organisation, Queue &queue, TimePoint now,
                      std::vector<Ended> &ended) -> std::optional<TimePoint>;

    RateAdmissionHooks hooks;
    RankedMutex mutex{LockRank::RateAdmission};
    std::map<std::string, Queue> queues ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
