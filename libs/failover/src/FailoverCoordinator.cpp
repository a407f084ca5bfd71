#include <failover/FailoverCoordinator.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <cassert>

namespace auburnrail {

namespace {

/// The term of a group whose first primary was adopted, for which nothing was fenced. A group whose
/// first primary was chosen here is in it, too; its replicas were told to follow by that leader
/// only.
constexpr auto FIRST_TERM = std::uint64_t(1);

auto runAll(const std::vector<std::function<auto()->void>> &effects) -> void
{
    for (const auto &effect : effects)
        effect();
}

} // namespace

FailoverCoordinator::FailoverCoordinator(const FailoverLimits &failoverLimits,
                                         FailoverHooks failoverHooks)
    : limits(failoverLimits)
    , hooks(std::move(failoverHooks))
    , suspicions(failoverLimits)
{
    assert(this->hooks.grantTerm && this->hooks.fence && this->hooks.isInForce
           && this->hooks.promote && this->hooks.publish && this->hooks.follow
           && this->hooks.failoverEnded && "all failover hooks must be set");
}

auto FailoverCoordinator::groupChanged(const FailoverGroup &view, TimePoint now) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        this->groups.insert_or_assign(view.name, view);
        if (view.phase == GroupPhase::Fencing || view.primary.empty())
            this->unserved.insert_or_assign(view.name, now);
        else
            this->unserved.erase(view.name);
        const auto found = this->attempts.find(view.name);
        if (found != this->attempts.end()) {
            auto &attempt = found->second;
            const auto served = view.phase == GroupPhase::Serving && !view.primary.empty();
            const auto completed = served && view.term == attempt.record.term;
            if (completed)
                attempt.record.newPrimary = view.primary;
            // Endpoints and their addresses may change while the attempt waits for a majority.
            if (attempt.phase == FailoverPhase::GrantingTerm
                || attempt.phase == FailoverPhase::Fencing
                || attempt.phase == FailoverPhase::WaitingForceOrConfirmation) {
                attempt.view.evidence = view.evidence;
                // A server that is new may be the only one that has an acknowledged write.
                if (attempt.updateMembers(view.endpoints))
                    attempt.nextTryAt = std::min(attempt.nextTryAt, now);
            }
            // A higher term was granted by another leader: this attempt, planned or not, ends.
            if (completed || view.term > attempt.record.term)
                this->finishAttempt(attempt, completed, now, effects);
        }
    }
    runAll(effects);
}

auto FailoverCoordinator::groupRemoved(const std::string &group) -> void
{
    const RankedLock lock(this->mutex);
    this->groups.erase(group);
    this->unserved.erase(group);
    this->attempts.erase(group);
    this->plannedNotBefore.erase(group);
    this->dropFollows(group);
    this->suspicions.clear(group);
}

auto FailoverCoordinator::beginLeadership(TimePoint now) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        this->leading = true;
        this->attempts.clear();
        this->suspicions.clearAll();
        this->follows.clear();
        for (const auto &[name, view] : this->groups) {
            if (view.term > FIRST_TERM)
                this->followAll(view, now);
        }
        this->startDueFailovers(now, effects);
    }
    runAll(effects);
}

auto FailoverCoordinator::endLeadership(TimePoint now) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        this->leading = false;
        this->suspicions.clearAll();
        this->follows.clear();
        while (!this->attempts.empty()) {
            auto &attempt = this->attempts.begin()->second;
            attempt.record.note = "this member no longer leads";
            this->finishAttempt(attempt, false, now, effects);
        }
    }
    runAll(effects);
}

auto FailoverCoordinator::reportSuspicion(const std::string &instance, const std::string &group,
                                          std::uint64_t term, std::optional<Duration> suspectedFor,
                                          TimePoint now) -> bool
{
    const RankedLock lock(this->mutex);
    const auto found = this->groups.find(group);
    if (!this->leading || found == this->groups.end() || found->second.term != term
        || found->second.primary.empty() || this->attempts.contains(group))
        return false;
    return this->suspicions.report(instance, group, suspectedFor, now);
}

auto FailoverCoordinator::reportAcknowledged(const LeaseId &holder, const std::string &group,
                                             std::uint64_t term, Position position,
                                             const std::vector<ObservedPosition> &observed,
                                             TimePoint now) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->attempts.find(group);
        if (found == this->attempts.end() || term < found->second.firstTerm)
            return;
        auto &attempt = found->second;
        attempt.acknowledged.report(holder, position, observed);
        this->advanceWhenFenced(attempt, now, effects);
    }
    runAll(effects);
}

auto FailoverCoordinator::awaitsReports() const -> bool
{
    const RankedLock lock(this->mutex);
    return std::any_of(this->attempts.begin(), this->attempts.end(), [](const auto &row) {
        const auto &attempt = row.second;
        return attempt.view.synchronousReplicas > 0
               && (!attempt.confirmedAt || attempt.acknowledged.isAwaited());
    });
}

auto FailoverCoordinator::endpointAnnounced(const std::string &group,
                                            const EndpointProcess &process, TimePoint now) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->attempts.find(group);
        if (found == this->attempts.end())
            return;
        auto &attempt = found->second;
        if (attempt.isAwaited(process.endpoint))
            attempt.nextTryAt = std::min(attempt.nextTryAt, now);
        const auto *registered = attempt.view.find(process.endpoint);
        if (registered != nullptr && registered->startedAt == process.startedAt) {
            attempt.heardAt.insert_or_assign(process.endpoint, now);
            this->advanceWhenFenced(attempt, now, effects);
        }
    }
    runAll(effects);
}

auto FailoverCoordinator::endpointSeen(const std::string &group, const std::string &endpoint,
                                       std::uint64_t term) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->groups.find(group);
        if (!this->leading || found == this->groups.end())
            return;
        const auto &view = found->second;
        const auto *outdated = view.find(endpoint);
        const auto *primary = view.find(view.primary);
        if (view.phase != GroupPhase::Serving || term >= view.term || endpoint == view.primary
            || outdated == nullptr || primary == nullptr)
            return;
        effects.emplace_back(
            [this, outdated = *outdated, primary = *primary, group, term = view.term] {
                // The endpoint's next announcement repeats it.
                this->hooks.follow(outdated, group, term, primary, [](bool, TimePoint) {});
            });
    }
    runAll(effects);
}

auto FailoverCoordinator::promotePlanned(const std::string &group, const std::string &target,
                                         TimePoint now) -> absl::Status
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->groups.find(group);
        if (!this->leading)
            return absl::FailedPreconditionError("this control member does not lead");
        if (found == this->groups.end() || found->second.find(target) == nullptr)
            return absl::NotFoundError("group " + group + " has no endpoint " + target);
        if (this->attempts.contains(group))
            return absl::AlreadyExistsError("a failover of group " + group + " is under way");
        const auto notBefore = this->plannedNotBefore.find(group);
        if (notBefore != this->plannedNotBefore.end() && now < notBefore->second)
            return absl::UnavailableError("the primary of group " + group
                                          + " stayed at the last planned promotion; try again");
        this->startFailover(found->second, FailoverCause::Planned, target, now, effects);
    }
    runAll(effects);
    return absl::OkStatus();
}

auto FailoverCoordinator::tick(TimePoint now) -> void
{
    auto effects = Effects();
    auto waiting = std::vector<WaitingAttempt>();
    {
        const RankedLock lock(this->mutex);
        if (!this->leading)
            return;
        this->startDueFailovers(now, effects);
        this->issueFollows(now, effects);
        for (auto &[group, attempt] : this->attempts) {
            if (attempt.isFencing())
                waiting.push_back({.group = group,
                                   .attemptId = attempt.id,
                                   .revision = attempt.revision,
                                   .confirmedAt = attempt.confirmedAt,
                                   .needsCensus = attempt.view.synchronousReplicas > 0
                                                  && !attempt.acknowledged.known()});
            this->updateEvidenceWait(attempt, now, effects);
            if (now >= attempt.nextTryAt)
                this->issueStep(attempt, now, effects);
        }
    }
    runAll(effects);
    for (const auto &attempt : waiting)
        this->checkWaiting(attempt, now);
}

auto FailoverCoordinator::checkWaiting(const WaitingAttempt &waiting, TimePoint now) -> void
{
    const auto isConfirmed = waiting.confirmedAt.has_value();
    if (!isConfirmed && !this->hooks.isInForce(waiting.revision, now))
        return;
    // `now` may have been read long before the check: the grace time counts from after it.
    const auto checkedAt = this->hooks.clock ? this->hooks.clock() : now;
    const auto leases = waiting.needsCensus ? this->leaseCensus(checkedAt) : std::nullopt;
    this->completeStep(waiting.group, waiting.attemptId, FailoverPhase::Fencing,
                       [this, checkedAt, &leases](detail::FailoverAttempt &attempt, Effects &more)
                           ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
                               this->entriesConfirmed(attempt, leases, checkedAt);
                               this->advanceWhenFenced(attempt, checkedAt, more);
                           });
    this->completeStep(waiting.group, waiting.attemptId, FailoverPhase::WaitingForceOrConfirmation,
                       [this, checkedAt, &leases](detail::FailoverAttempt &attempt, Effects &more)
                           ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
                               this->entriesConfirmed(attempt, leases, checkedAt);
                               this->promoteWhenReady(attempt, checkedAt, more);
                           });
}

auto FailoverCoordinator::phaseOf(const std::string &group) const -> FailoverPhase
{
    const RankedLock lock(this->mutex);
    const auto found = this->attempts.find(group);
    return found == this->attempts.end() ? FailoverPhase::Watching : found->second.phase;
}

auto FailoverCoordinator::currentRecord(const std::string &group) const
    -> std::optional<FailoverRecord>
{
    const RankedLock lock(this->mutex);
    const auto found = this->attempts.find(group);
    if (found == this->attempts.end())
        return std::nullopt;
    return found->second.record;
}

auto FailoverCoordinator::startDueFailovers(TimePoint now, Effects &effects) -> void
{
    for (const auto &group : this->suspicions.takeConfirmed(now))
        this->startFailover(this->groups[group], FailoverCause::Suspicion, "", now, effects);
    for (const auto &[group, changedAt] : this->unserved) {
        if (this->attempts.contains(group))
            continue;
        const auto &view = this->groups[group];
        if (view.phase == GroupPhase::Fencing)
            this->startFailover(view, FailoverCause::Resumed, "", now, effects);
        else if (now - changedAt >= this->limits.initialSettleTime && !view.endpoints.empty())
            this->startFailover(view, FailoverCause::Initial, "", now, effects);
    }
}

auto FailoverCoordinator::finishAttempt(detail::FailoverAttempt &attempt, bool completed,
                                        TimePoint now, Effects &effects) -> void
{
    if (const auto since = attempt.evidenceWatch.since()) {
        if (const auto stage = attempt.evidenceWatch.end(now))
            this->reportEvidenceWait(attempt, *stage, *since, now, effects);
    }
    auto record = attempt.record;
    record.waiting.reset();
    record.evidenceWait = attempt.evidenceWatch.waited(now);
    record.completed = completed;
    record.endedAt = now;
    if (completed) {
        this->followAll(this->groups[record.group], now);
        this->issueFollows(now, effects);
    }
    effects.emplace_back([this, record] { this->hooks.failoverEnded(record); });
    const auto wasPlanned =
        record.cause == FailoverCause::Planned || record.cause == FailoverCause::Resumed;
    if (completed && wasPlanned && record.newPrimary == record.oldPrimary)
        this->plannedNotBefore.insert_or_assign(record.group, now + this->limits.plannedRetryDelay);
    else
        this->plannedNotBefore.erase(record.group);
    this->attempts.erase(record.group);
}

auto FailoverCoordinator::completeStep(const std::string &group, std::uint64_t attemptId,
                                       FailoverPhase phase, const Completion &change) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->attempts.find(group);
        if (found == this->attempts.end() || found->second.id != attemptId
            || found->second.phase != phase)
            return;
        change(found->second, effects);
    }
    runAll(effects);
}

} // namespace auburnrail
