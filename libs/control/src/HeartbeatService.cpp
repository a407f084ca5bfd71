#include <control/HeartbeatService.h>

#include <lease/LeaseTiming.h>

#include <algorithm>

namespace auburnrail {

namespace {

/// Upper bound of the hold limit that an entry may request. A quarter of the lease leaves time to
/// renew after a lost response.
constexpr auto MAX_HOLD = LEASE_DURATION / 4;

} // namespace

HeartbeatService::HeartbeatService(ControlTables &controlTables)
    : tables(controlTables)
    , updates(controlTables.store)
{
}

auto HeartbeatService::respond(const Heartbeat &heartbeat) -> HeartbeatAnswer
{
    auto response = this->compose(heartbeat);
    this->tables.metrics.countHeartbeat(response.lease.status);
    return response;
}

auto HeartbeatService::compose(const Heartbeat &heartbeat) -> HeartbeatAnswer
{
    auto response = HeartbeatAnswer();
    response.leader = this->tables.hooks.leader();
    const auto id = LeaseId{heartbeat.instance, heartbeat.incarnation};
    // Also renewed on arrival, because changes wait until each entry has reported their revision.
    auto now = this->tables.executor.now();
    response.lease = this->tables.leases.renew(id, heartbeat.appliedRevision, now);
    if (response.lease.status != LeaseStatus::Granted)
        return response;
    const auto mayGrantShares = this->tables.mayGrantShares(heartbeat.instance, now);
    if (mayGrantShares)
        std::ignore = this->tables.ledger.report(heartbeat.shares, now);
    this->tables.entries.record(EntryRecord{.instance = heartbeat.instance,
                                            .zone = heartbeat.zone,
                                            .operatorsAddress = heartbeat.operatorsAddress,
                                            .appliedRevision = heartbeat.appliedRevision,
                                            .lastSeenAt = now});
    this->processReports(heartbeat, now);
    // Not held before the entry has reported to this leadership: a new leader grants shares only
    // after every entry has reported, which it does after its first response.
    const auto isKnown = heartbeat.shares.leadership == this->tables.ledger.leadership();
    const auto holdLimit = isKnown || !mayGrantShares ? heartbeat.holdLimit : Duration();
    this->tables.heldResponses.hold(heartbeat.shares.holder, heartbeat.appliedRevision,
                                    now + std::clamp<Duration>(holdLimit, Duration(), MAX_HOLD));
    now = this->tables.executor.now();
    const auto update = this->updates.since(heartbeat.appliedRevision);
    response.update = update.changes;
    response.snapshot = update.snapshot;
    response.entries = static_cast<std::uint32_t>(this->tables.leases.size());
    response.zoneEntries =
        static_cast<std::uint32_t>(this->tables.entries.countInZone(heartbeat.zone, now));
    response.lease = this->tables.leases.renew(id, heartbeat.appliedRevision, now);
    if (mayGrantShares && response.lease.status == LeaseStatus::Granted)
        response.shares = this->tables.ledger.grant(heartbeat.shares.holder, now);
    return response;
}

auto HeartbeatService::processReports(const Heartbeat &heartbeat, TimePoint now) -> void
{
    for (const auto &report : heartbeat.primaries) {
        this->tables.failover.reportSuspicion(heartbeat.instance, report.group, report.term,
                                              report.unreachableFor, now);
    }
    for (const auto &contribution : heartbeat.burn)
        std::ignore = this->tables.burn.merge(contribution, this->tables.hooks.wallClock());
    if (heartbeat.endpoints.empty())
        return;
    const auto state = this->tables.store.objects();
    for (const auto &announcement : heartbeat.endpoints) {
        if (!this->tables.checkAnnounced(announcement).ok())
            continue;
        this->tables.failover.endpointSeen(announcement.group, announcement.endpoint,
                                           announcement.term);
        for (auto &body : this->tables.registrar.commandsFor(announcement, state, now))
            this->tables.submitInternal(std::move(body));
    }
}

} // namespace auburnrail
