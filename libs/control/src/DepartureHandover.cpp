#include <control/DepartureHandover.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnrail {

namespace {

auto runAll(const std::vector<std::function<auto()->void>> &effects) -> void
{
    for (const auto &effect : effects)
        effect();
}

/// Whether the endpoint's log remains in the group when the leaving one has gone. The primary's
/// doesn't count: the handover is for the case that it is lost.
auto staysAsReplica(const GroupEndpoint &endpoint, const FailoverGroup &view) -> bool
{
    return !endpoint.leaving && endpoint.name != view.primary;
}

/// The replica that stays and has named the highest position, or null.
auto mostAdvanced(const detail::Departure &departure)
    -> const std::pair<const std::string, Position> *
{
    const auto found = std::max_element(
        departure.staying.begin(), departure.staying.end(),
        [](const auto &left, const auto &right) { return left.second < right.second; });
    return found == departure.staying.end() ? nullptr : &*found;
}

/// Whether a replica that stays has everything up to the departure's position.
auto isReached(const detail::Departure &departure) -> bool
{
    const auto *best = mostAdvanced(departure);
    return departure.position && best != nullptr && best->second >= *departure.position;
}

auto beginAnew(detail::Departure &departure, std::uint64_t id) -> void
{
    departure.id = id;
    departure.phase = DeparturePhase::CatchingUp;
    departure.position.reset();
    departure.staying.clear();
    departure.called.clear();
}

auto takeStatus(detail::Departure &departure, const std::string &endpoint,
                const std::optional<EndpointRoleStatus> &status, TimePoint now) -> void
{
    // One that says it is primary is in the middle of a change that the fleet state will show.
    if (!status || status->isPrimary)
        return;
    if (endpoint != departure.endpoint.name) {
        departure.staying.insert_or_assign(endpoint, status->position);
    } else if (!departure.position) {
        departure.position = status->position;
    } else if (departure.phase == DeparturePhase::Completing
               && status->position > *departure.position) {
        // It receives again, for example since it was restarted or told to follow a new primary.
        departure.phase = DeparturePhase::Stopping;
        departure.nextCallsAt = now;
    }
}

auto toRecord(const detail::Departure &departure, DepartureOutcome outcome, TimePoint now)
    -> DepartureRecord
{
    auto record = DepartureRecord{.endpoint = departure.endpoint.name,
                                  .group = departure.group,
                                  .outcome = outcome,
                                  .took = now - departure.beganAt,
                                  .position = departure.position};
    if (const auto *best = mostAdvanced(departure)) {
        record.mostAdvanced = best->first;
        record.mostAdvancedPosition = best->second;
    }
    return record;
}

} // namespace

DepartureHandover::DepartureHandover(const DepartureHandoverLimits &handoverLimits,
                                     DepartureHandoverHooks handoverHooks)
    : limits(handoverLimits)
    , hooks(std::move(handoverHooks))
{
    assert(this->hooks.group && this->hooks.isInFailover && this->hooks.follow && this->hooks.ended
           && "these hooks must be set");
}

auto DepartureHandover::situationOf(const std::string &group) const -> Situation
{
    auto situation = Situation{this->hooks.group(group), this->hooks.isInFailover(group)};
    if (situation.view && situation.view->phase == GroupPhase::Fencing)
        situation.isInFailover = true;
    return situation;
}

auto DepartureHandover::leaves(const std::string &group, const GroupEndpoint &endpoint,
                               TimePoint now, Done done) -> void
{
    {
        const RankedLock lock(this->mutex);
        const auto found = this->departures.find(endpoint.name);
        if (found != this->departures.end()
            && (found->second.endpoint.startedAt != endpoint.startedAt
                || found->second.group != group
                || found->second.phase == DeparturePhase::Returning))
            this->departures.erase(found);
        auto &departure = this->departures[endpoint.name];
        if (departure.id == 0) {
            departure.group = group;
            departure.endpoint = endpoint;
            departure.beganAt = now;
            departure.nextCallsAt = now;
            beginAnew(departure, ++this->lastId);
        }
        departure.heardAt = now;
        departure.waiters.push_back(std::move(done));
    }
    this->update(endpoint.name, group, now, [](detail::Departure &) {});
}

auto DepartureHandover::stays(const GroupEndpoint &endpoint, TimePoint now) -> void
{
    const RankedLock lock(this->mutex);
    const auto found = this->departures.find(endpoint.name);
    if (found == this->departures.end())
        return;
    auto &departure = found->second;
    // A process that started since then has never been told to stop.
    if (!departure.mayBeStopped || departure.endpoint.startedAt != endpoint.startedAt) {
        this->departures.erase(found);
        return;
    }
    if (departure.phase != DeparturePhase::Returning)
        departure.nextCallsAt = now;
    departure.phase = DeparturePhase::Returning;
    departure.heardAt = now;
    departure.waiters.clear();
}

auto DepartureHandover::isUnderWay(const std::string &endpoint) const -> bool
{
    const RankedLock lock(this->mutex);
    const auto found = this->departures.find(endpoint);
    return found != this->departures.end() && found->second.phase != DeparturePhase::Ended
           && found->second.phase != DeparturePhase::Returning;
}

auto DepartureHandover::tick(TimePoint now) -> void
{
    auto active = std::vector<std::pair<std::string, std::string>>();
    {
        const RankedLock lock(this->mutex);
        std::erase_if(this->departures, [&](const auto &row) {
            return row.second.phase == DeparturePhase::Ended
                   && now - row.second.heardAt > this->limits.retention;
        });
        for (const auto &[name, departure] : this->departures) {
            if (departure.phase != DeparturePhase::Ended)
                active.emplace_back(name, departure.group);
        }
    }
    for (const auto &[endpoint, group] : active)
        this->update(endpoint, group, now, [](detail::Departure &) {});
}

auto DepartureHandover::endLeadership() -> void
{
    const RankedLock lock(this->mutex);
    this->departures.clear();
}

auto DepartureHandover::update(const std::string &endpoint, const std::string &group, TimePoint now,
                               const std::function<auto(detail::Departure &)->void> &change) -> void
{
    const auto situation = this->situationOf(group);
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->departures.find(endpoint);
        if (found == this->departures.end() || found->second.group != group)
            return;
        change(found->second);
        this->advance(found->second, situation, now, effects);
        const auto isMember = situation.view && situation.view->find(endpoint) != nullptr;
        // The failover tells its members to follow.
        if (found->second.phase == DeparturePhase::Returning
            && (!isMember || situation.isInFailover || !found->second.mayBeStopped))
            this->departures.erase(found);
    }
    runAll(effects);
}

auto DepartureHandover::responded(const std::string &leaver, const std::string &group,
                                  std::uint64_t id, const std::string &endpoint, TimePoint now,
                                  const std::function<auto(detail::Departure &)->void> &change)
    -> void
{
    {
        const RankedLock lock(this->mutex);
        --this->calls;
    }
    this->update(leaver, group, now, [&](detail::Departure &departure) {
        if (departure.id != id)
            return;
        departure.called.erase(endpoint);
        change(departure);
    });
}

auto DepartureHandover::advance(detail::Departure &departure, const Situation &situation,
                                TimePoint now, Effects &effects) -> void
{
    if (departure.phase == DeparturePhase::Returning) {
        if (now >= departure.nextCallsAt)
            this->issueFollow(departure, situation, effects);
        return;
    }
    if (departure.phase != DeparturePhase::Ended) {
        // Replicas that have left since, or lead now, don't stay.
        std::erase_if(departure.staying, [&](const auto &row) {
            const auto *member = situation.view ? situation.view->find(row.first) : nullptr;
            return member == nullptr || !staysAsReplica(*member, *situation.view);
        });
        if (const auto outcome = this->outcomeWithout(departure, situation, now))
            this->end(departure, *outcome, now, effects);
        else if (situation.isInFailover)
            // Positions read before a promotion say nothing after it.
            beginAnew(departure, ++this->lastId);
        else
            this->advancePhase(departure, *situation.view, now, effects);
    }
    if (!departure.outcome)
        return;
    for (auto &waiter : std::exchange(departure.waiters, {}))
        effects.emplace_back(
            [waiter = std::move(waiter), outcome = *departure.outcome] { waiter(outcome); });
}

auto DepartureHandover::outcomeWithout(const detail::Departure &departure,
                                       const Situation &situation, TimePoint now) const
    -> std::optional<DepartureOutcome>
{
    const auto &view = situation.view;
    if (!view || view->find(departure.endpoint.name) == nullptr)
        return DepartureOutcome::Gone;
    if (view->synchronousReplicas == 0)
        return DepartureOutcome::Unsynchronised;
    if (view->primary == departure.endpoint.name)
        return DepartureOutcome::Primary;
    if (!this->hooks.inspect || !this->hooks.stopReplication)
        return DepartureOutcome::Unsupported;
    if (now - departure.beganAt < this->limits.handoverLimit)
        return std::nullopt;
    if (situation.isInFailover)
        return DepartureOutcome::InFailover;
    return departure.position ? DepartureOutcome::Behind : DepartureOutcome::Unanswered;
}

auto DepartureHandover::advancePhase(detail::Departure &departure, const FailoverGroup &view,
                                     TimePoint now, Effects &effects) -> void
{
    if (departure.phase == DeparturePhase::CatchingUp && isReached(departure)) {
        departure.phase = DeparturePhase::Stopping;
        departure.nextCallsAt = now;
    }
    if (departure.phase == DeparturePhase::Completing && isReached(departure)) {
        this->end(departure, DepartureOutcome::HandedOver, now, effects);
        return;
    }
    if (now < departure.nextCallsAt)
        return;
    departure.nextCallsAt = now + this->limits.checkInterval;
    this->issueCalls(departure, view, effects);
}

auto DepartureHandover::end(detail::Departure &departure, DepartureOutcome outcome, TimePoint now,
                            Effects &effects) -> void
{
    departure.phase = DeparturePhase::Ended;
    departure.outcome = outcome;
    effects.emplace_back(
        [this, record = toRecord(departure, outcome, now)] { this->hooks.ended(record); });
}

auto DepartureHandover::reserveCall(detail::Departure &departure, const std::string &endpoint)
    -> bool
{
    if (this->calls >= this->limits.maxCalls || !departure.called.insert(endpoint).second)
        return false;
    ++this->calls;
    return true;
}

auto DepartureHandover::issueCalls(detail::Departure &departure, const FailoverGroup &view,
                                   Effects &effects) -> void
{
    if (departure.phase == DeparturePhase::Stopping) {
        this->issueStop(departure, effects);
        return;
    }
    if (!departure.position || departure.phase == DeparturePhase::Completing)
        this->issueInspection(departure, departure.endpoint, effects);
    for (const auto &member : view.endpoints) {
        if (member.name != departure.endpoint.name && staysAsReplica(member, view))
            this->issueInspection(departure, member, effects);
    }
}

auto DepartureHandover::issueInspection(detail::Departure &departure, const GroupEndpoint &endpoint,
                                        Effects &effects) -> void
{
    if (!this->reserveCall(departure, endpoint.name))
        return;
    effects.emplace_back([this, leaver = departure.endpoint.name, group = departure.group,
                          id = departure.id, endpoint] {
        this->hooks.inspect(endpoint, group,
                            [this, leaver, group, id, name = endpoint.name](
                                const std::optional<EndpointRoleStatus> &status, TimePoint now) {
                                this->responded(leaver, group, id, name, now,
                                                [&](detail::Departure &changed) {
                                                    takeStatus(changed, name, status, now);
                                                });
                            });
    });
}

auto DepartureHandover::issueStop(detail::Departure &departure, Effects &effects) -> void
{
    if (!this->reserveCall(departure, departure.endpoint.name))
        return;
    departure.mayBeStopped = true;
    effects.emplace_back(
        [this, endpoint = departure.endpoint, group = departure.group, id = departure.id] {
            this->hooks.stopReplication(
                endpoint, group,
                [this, name = endpoint.name, group, id](const std::optional<Position> &position,
                                                        TimePoint now) {
                    this->responded(name, group, id, name, now, [&](detail::Departure &changed) {
                        if (!position || changed.phase != DeparturePhase::Stopping)
                            return;
                        changed.position = position;
                        changed.phase = DeparturePhase::Completing;
                        changed.nextCallsAt = now;
                    });
                });
        });
}

auto DepartureHandover::issueFollow(detail::Departure &departure, const Situation &situation,
                                    Effects &effects) -> void
{
    const auto *primary = situation.view ? situation.view->find(situation.view->primary) : nullptr;
    if (primary == nullptr || situation.isInFailover
        || !this->reserveCall(departure, departure.endpoint.name))
        return;
    effects.emplace_back([this, endpoint = departure.endpoint, group = departure.group,
                          id = departure.id, term = situation.view->term, primary = *primary] {
        this->hooks.follow(endpoint, group, term, primary,
                           [this, name = endpoint.name, group, id](bool isDone, TimePoint now) {
                               this->responded(
                                   name, group, id, name, now, [&](detail::Departure &changed) {
                                       changed.mayBeStopped = !isDone;
                                       changed.nextCallsAt = now + this->limits.checkInterval;
                                   });
                           });
    });
}

} // namespace auburnrail
