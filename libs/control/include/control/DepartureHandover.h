#ifndef AUBURNRAIL_CONTROL_DEPARTUREHANDOVER_H
#define AUBURNRAIL_CONTROL_DEPARTUREHANDOVER_H

#include <control/DepartureHandoverHooks.h>
#include <control/DepartureHandoverLimits.h>
#include <control/detail/Departure.h>

#include <core/RankedMutex.h>

#include <absl/base/thread_annotations.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Decides when the departure of a replica may be acknowledged: once a replica that stays has all
/// that the leaving one has confirmed, which counts toward the synchronous replicas until it ends
/// and takes its log with it. The leaving one is told to stop receiving when another one has nearly
/// everything, so that writes are held up for a moment only. Decisions only: the caller passes the
/// time, effects go through hooks that are called after the mutex is released. The state is that of
/// one leadership. Safe from any thread; must outlive every `done` that it passed to a hook.
class DepartureHandover
{
public:
    using Done = std::function<auto(DepartureOutcome)->void>;

    DepartureHandover(const DepartureHandoverLimits &handoverLimits,
                      DepartureHandoverHooks handoverHooks);

    /// Handles an announcement that a registered endpoint leaves. `done` is called once the
    /// departure may be acknowledged, maybe before this returns; never if leadership ends before,
    /// or the endpoint stays.
    auto leaves(const std::string &group, const GroupEndpoint &endpoint, TimePoint now, Done done)
        -> void;

    /// Handles an announcement of an endpoint that doesn't leave.
    auto stays(const GroupEndpoint &endpoint, TimePoint now) -> void;

    /// Whether a departure of the endpoint may not be acknowledged yet.
    [[nodiscard]] auto isUnderWay(const std::string &endpoint) const -> bool;

    /// Must be called at least every 100 ms while this member leads.
    auto tick(TimePoint now) -> void;

    /// Forgets everything.
    auto endLeadership() -> void;

private:
    using Effects = std::vector<std::function<auto()->void>>;

    /// A group as seen by one decision.
    struct Situation
    {
        std::optional<FailoverGroup> view;
        bool isInFailover = false;
    };

    [[nodiscard]] auto situationOf(const std::string &group) const -> Situation;
    /// Runs `change` on the endpoint's departure, if it exists, and what follows from it.
    auto update(const std::string &endpoint, const std::string &group, TimePoint now,
                const std::function<auto(detail::Departure &)->void> &change) -> void;
    /// The same with a response; an outdated one changes nothing.
    auto responded(const std::string &leaver, const std::string &group, std::uint64_t id,
                   const std::string &endpoint, TimePoint now,
                   const std::function<auto(detail::Departure &)->void> &change) -> void;

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto advance(detail::Departure &departure, const Situation &situation, TimePoint now,
                 Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto advancePhase(detail::Departure &departure, const FailoverGroup &view, TimePoint now,
                      Effects &effects) -> void;
    /// Why the departure may be acknowledged without a handover, or has to be by now.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto outcomeWithout(const detail::Departure &departure, const Situation &situation,
                        TimePoint now) const -> std::optional<DepartureOutcome>;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto end(detail::Departure &departure, DepartureOutcome outcome, TimePoint now,
             Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto issueCalls(detail::Departure &departure, const FailoverGroup &view, Effects &effects)
        -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto issueInspection(detail::Departure &departure, const GroupEndpoint &endpoint,
                         Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto issueStop(detail::Departure &departure, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto issueFollow(detail::Departure &departure, const Situation &situation, Effects &effects)
        -> void;
    /// Whether another call to the endpoint may be made; counts it.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto reserveCall(detail::Departure &departure, const std::string &endpoint) -> bool;

    const DepartureHandoverLimits limits;
    const DepartureHandoverHooks hooks;
    mutable RankedMutex mutex{LockRank::DepartureHandover};
    std::uint64_t lastId ABSL_GUARDED_BY(mutex) = 0;
    std::size_t calls ABSL_GUARDED_BY(mutex) = 0; ///< Under way, also of departures that ended.
    std::map<std::string, detail::Departure> departures ABSL_GUARDED_BY(mutex); ///< By endpoint.
};

} // namespace auburnrail

#endif
