#include <routing/EndpointTable.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <cassert>

namespace auburnrail {

namespace {

auto viewOf(const detail::EndpointEntry &entry, TimePoint now) -> EndpointView
{
    const auto &known = entry.description;
    return EndpointView{
        .name = known.name,
        .group = known.group,
        .zone = known.zone,
        .address = known.address,
        .term = std::max(known.term, entry.observedTerm),
        .primary = known.primary,
        .leaving = known.leaving || entry.reportsLeaving,
        .evacuatedAt = entry.evacuatedAt,
        .position = entry.position,
        .observedAt = entry.lastObserved,
        .lastSeen = entry.lastSeen,
        .dataTime = entry.dataTime,
        .inFlight = entry.inFlight,
        .limit = entry.limit.value(),
        .responseTime = entry.responseTime.value(now),
        .responseAge = entry.lastObserved ? now - *entry.lastObserved : Duration(),
        .breaker = entry.breaker.state(now),
        .slowStartFraction = entry.breaker.slowStartFraction(now),
    };
}

auto contains(const std::vector<std::string> &names, std::string_view name) -> bool
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

auto isEvacuated(const EndpointView &view, TimePoint now) -> bool
{
    return view.evacuatedAt
           && (!view.primary || now - *view.evacuatedAt >= EndpointTable::EVACUATED_PRIMARY_MS);
}

/// Records that the endpoint's zone is evacuated, or returns to service. Its load then comes back
/// gradually, because its caches are cold and all entries return at the same moment.
auto applyEvacuation(detail::EndpointEntry &entry, bool evacuated, TimePoint now) -> void
{
    if (evacuated) {
        entry.evacuatedAt = entry.evacuatedAt.value_or(now);
    } else if (entry.evacuatedAt) {
        entry.evacuatedAt.reset();
        entry.breaker.beginSlowStart(now);
    }
}

auto acceptsWork(const EndpointView &view, bool ignoreLimit, Duration unresponsiveAfter,
                 TimePoint now) -> bool
{
    const auto unresponsive = !view.lastSeen || now - *view.lastSeen >= unresponsiveAfter;
    const auto queues = ignoreLimit && view.breaker == BreakerState::Closed;
    const auto limit = view.breaker == BreakerState::HalfOpen ? 1U : view.limit;
    return !unresponsive && !view.leaving && !isEvacuated(view, now)
           && view.breaker != BreakerState::Open && (queues || view.inFlight < limit);
}

auto matches(const EndpointView &view, const EndpointCriteria &criteria, TimePoint now) -> bool
{
    const auto roleFits = criteria.role == EndpointRole::Any
                          || (criteria.role == EndpointRole::Primary) == view.primary;
    const auto freshEnough =
        !criteria.maxAge || (view.dataTime && now - *view.dataTime <= *criteria.maxAge);
    return roleFits && freshEnough && view.group == criteria.group
           && (!criteria.minimum || view.position >= *criteria.minimum)
           && (criteria.only.empty() || contains(criteria.only, view.name))
           && !contains(criteria.except, view.name);
}

/// The data time is computed from the send time, which makes it a lower bound: the endpoint
/// determined the age of its data after it received the probe or request.
auto applyObservation(detail::EndpointEntry &entry, const EndpointObservation &observation) -> void
{
    if (observation.term < entry.observedTerm)
        return;
    // A rebuilt replica restarts at an earlier position, so the latest response counts rather than
    // the highest position.
    entry.observedTerm = observation.term;
    entry.position = observation.position;
    entry.dataTime = observation.sentAt - observation.dataAge;
    entry.reportsLeaving = observation.leaving;
}

} // namespace

EndpointTable::EndpointTable(std::string zone, EndpointChoice choice,
                             Duration crossZoneProbeInterval)
    : zone(std::move(zone))
    , choice(choice ? std::move(choice) : makeLeastLoadedOfTwo())
    , crossZoneProbeInterval(crossZoneProbeInterval)
{
}

auto EndpointTable::updateFromState(const std::vector<EndpointDescription> &endpoints,
                                    TimePoint now) -> void
{
    const RankedLock lock(this->mutex);
    auto kept = std::map<std::string, detail::EndpointEntry, std::less<>>();
    for (const auto &endpoint : endpoints) {
        const auto found = this->entries.find(endpoint.name);
        auto &entry = kept[endpoint.name];
        // A new address means another server, so earlier measurements don't apply.
        if (found != this->entries.end() && found->second.description.address == endpoint.address) {
            entry = std::move(found->second);
        }
        entry.description = endpoint;
        applyEvacuation(entry, endpoint.evacuated, now);
    }
    this->entries = std::move(kept);
}

auto EndpointTable::recordResponse(std::string_view endpoint,
                                   const EndpointObservation &observation, TimePoint now) -> void
{
    const RankedLock lock(this->mutex);
    const auto found = this->entries.find(endpoint);
    if (found == this->entries.end())
        return;
    auto &entry = found->second;
    if (entry.lastSeen && now - *entry.lastSeen >= this->unresponsiveAfter(entry))
        entry.breaker.beginSlowStart(now);
    // Responses may be recorded out of order; an older one must not replace a newer one.
    const auto newer = !entry.lastObserved || observation.sentAt >= *entry.lastObserved;
    if (newer) {
        entry.lastObserved = observation.sentAt;
        applyObservation(entry, observation);
    }
    entry.lastSeen = std::max(entry.lastSeen.value_or(now), now);
    entry.firstFailure.reset();
    entry.failures = 0;
    entry.breaker.recordSuccess(now);
    if (!observation.measuresTime)
        return;
    entry.limit.recordResponse(entry.inFlight);
    entry.responseTime.add(observation.responseTime, now);
}

auto EndpointTable::recordFailure(std::string_view endpoint, EndpointFailure failure, TimePoint now)
    -> void
{
    const RankedLock lock(this->mutex);
    const auto found = this->entries.find(endpoint);
    if (found == this->entries.end())
        return;
    auto &entry = found->second;
    if (failure == EndpointFailure::Overloaded || failure == EndpointFailure::TimedOut)
        entry.limit.recordOverload(now);
    if (failure == EndpointFailure::Overloaded)
        return;
    entry.breaker.recordFailure(now);
    ++entry.failures;
    if (!entry.firstFailure)
        entry.firstFailure = now;
}

auto EndpointTable::markLeaving(std::string_view endpoint) -> void
{
    const RankedLock lock(this->mutex);
    const auto found = this->entries.find(endpoint);
    if (found != this->entries.end())
        found->second.reportsLeaving = true;
}

auto EndpointTable::begin(std::string_view endpoint) -> void
{
    const RankedLock lock(this->mutex);
    const auto found = this->entries.find(endpoint);
    if (found != this->entries.end())
        ++found->second.inFlight;
}

auto EndpointTable::end(std::string_view endpoint) -> void
{
    const RankedLock lock(this->mutex);
    const auto found = this->entries.find(endpoint);
    // The count restarts at 0 if the endpoint was removed and added again in between.
    if (found != this->entries.end() && found->second.inFlight > 0)
        --found->second.inFlight;
}

auto EndpointTable::eligible(const EndpointCriteria &criteria, TimePoint now)
    -> std::vector<EndpointView>
{
    const RankedLock lock(this->mutex);
    auto views = std::vector<EndpointView>();
    for (const auto &[name, entry] : this->entries) {
        auto view = viewOf(entry, now);
        if (matches(view, criteria, now)
            && acceptsWork(view, criteria.ignoreLimit, this->unresponsiveAfter(entry), now))
            views.push_back(std::move(view));
    }
    return views;
}

auto EndpointTable::choose(const EndpointCriteria &criteria, std::uint64_t randomValue,
                           TimePoint now) -> std::optional<EndpointView>
{
    return this->chooseAmong(this->eligible(criteria, now), randomValue);
}

auto EndpointTable::chooseAmong(std::vector<EndpointView> views, std::uint64_t randomValue) const
    -> std::optional<EndpointView>
{
    if (views.empty())
        return std::nullopt;
    const auto index = this->choice(views, this->zone, randomValue);
    assert(index < views.size() && "the choice is outside the candidates");
    return std::move(views[index]);
}

auto EndpointTable::find(std::string_view endpoint, TimePoint now) -> std::optional<EndpointView>
{
    const RankedLock lock(this->mutex);
    const auto found = this->entries.find(endpoint);
    if (found == this->entries.end())
        return std::nullopt;
    return viewOf(found->second, now);
}

auto EndpointTable::setEntryCount(std::size_t count) -> void
{
    const RankedLock lock(this->mutex);
    this->entryCount = count;
}

auto EndpointTable::probeInterval(const detail::EndpointEntry &entry) const -> Duration
{
    const auto isInOtherZone = !entry.description.primary && entry.description.zone != this->zone;
    const auto interval =
        isInOtherZone ? this->crossZoneProbeInterval : Duration(PROBE_INTERVAL_MS);
    return std::max<Duration>(interval, PROBE_SPACING_MS * this->entryCount);
}

auto EndpointTable::unresponsiveAfter(const detail::EndpointEntry &entry) const -> Duration
{
    return std::max<Duration>(UNRESPONSIVE_AFTER_MS, this->probeInterval(entry) + PROBE_GRACE_MS);
}

auto EndpointTable::probeDue(TimePoint now) -> std::vector<EndpointView>
{
    const RankedLock lock(this->mutex);
    auto due = std::vector<EndpointView>();
    for (auto &[name, entry] : this->entries) {
        const auto interval =
            entry.failures > 0 ? Duration(PROBE_INTERVAL_MS) : this->probeInterval(entry);
        const auto recent = [now, interval](const std::optional<TimePoint> &time) {
            return time && now - *time < interval;
        };
        if (recent(entry.lastSeen) || recent(entry.lastProbe))
            continue;
        entry.lastProbe = now;
        due.push_back(viewOf(entry, now));
    }
    return due;
}

auto EndpointTable::suspicions() -> std::vector<Suspicion>
{
    const RankedLock lock(this->mutex);
    auto found = std::vector<Suspicion>();
    for (const auto &[name, entry] : this->entries) {
        if (!entry.description.primary || entry.failures < SUSPECT_AFTER_FAILURES)
            continue;
        found.push_back({.group = entry.description.group,
                         .term = entry.description.term,
                         .endpoint = name,
                         .since = *entry.firstFailure});
    }
    return found;
}

} // namespace auburnrail
