#include <control/HeartbeatService.h>

#include <lease/LeaseTiming.h>

#include <algorithm>

namespace auburnrail {

namespace {

/// Bounds what an entry can ask for; a quarter of the lease leaves time for a lost answer.
constexpr auto MAX_HOLD = LEASE_DURATION / 4;

/// Entries act on the objects that follow from a configuration document, not on its text, and need
/// no list of each other.
auto isForEntries(const FleetChange &change) -> bool
{
    return change.kind != ObjectKind::Document && change.kind != ObjectKind::Entry;
}

} // namespace

HeartbeatService::HeartbeatService(ControlTables &controlTables)
    : tables(controlTables)
{
}

auto HeartbeatService::answer(const Heartbeat &heartbeat) -> HeartbeatAnswer
{
    auto answer = this->compose(heartbeat);
    this->tables.metrics.countHeartbeat(answer.lease.status);
    return answer;
}

auto HeartbeatService::compose(const Heartbeat &heartbeat) -> HeartbeatAnswer
{
    auto answer = HeartbeatAnswer();
    answer.leader = this->tables.hooks.leader();
    const auto id = LeaseId{heartbeat.instance, heartbeat.incarnation};
    // Renewed on arrival as well, because changes wait for the revision that it names.
    auto now = this->tables.executor.now();
    answer.lease = this->tables.leases.renew(id, heartbeat.appliedRevision, now);
    if (answer.lease.status != LeaseStatus::Granted)
        return answer;
    const auto mayLend = this->tables.mayLend(heartbeat.instance, now);
    if (mayLend)
        std::ignore = this->tables.ledger.report(heartbeat.shares, now);
    this->tables.entries.record(EntryRecord{.instance = heartbeat.instance,
                                            .zone = heartbeat.zone,
                                            .operatorsAddress = heartbeat.operatorsAddress,
                                            .appliedRevision = heartbeat.appliedRevision,
                                            .heardAt = now});
    this->takeReports(heartbeat, now);
    // A new leader may lend once every entry has reported after its first answer.
    const auto isKnown = heartbeat.shares.leadership == this->tables.ledger.leadership();
    const auto holdLimit = isKnown || !mayLend ? heartbeat.holdLimit : Duration();
    this->tables.held.hold(heartbeat.shares.holder, heartbeat.appliedRevision,
                           now + std::clamp<Duration>(holdLimit, Duration(), MAX_HOLD));
    now = this->tables.executor.now();
    this->addChanges(heartbeat.appliedRevision, answer);
    answer.entries = static_cast<std::uint32_t>(this->tables.leases.size());
    answer.zoneEntries =
        static_cast<std::uint32_t>(this->tables.entries.countInZone(heartbeat.zone, now));
    answer.lease = this->tables.leases.renew(id, heartbeat.appliedRevision, now);
    if (mayLend && answer.lease.status == LeaseStatus::Granted)
        answer.shares = this->tables.ledger.grant(heartbeat.shares.holder, now);
    return answer;
}

auto HeartbeatService::takeReports(const Heartbeat &heartbeat, TimePoint now) -> void
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
        this->tables.failover.endpointSeen(announcement.group, announcement.endpoint,
                                           announcement.term);
        for (auto &body : this->tables.registrar.commandsFor(announcement, state, now))
            this->tables.submitInternal(std::move(body));
    }
}

auto HeartbeatService::addChanges(Revision applied, HeartbeatAnswer &answer) -> void
{
    this->tables.store.read([&](const FleetState &state) {
        if (state.revision() <= applied)
            return;
        answer.update = state.changesSince(applied, isForEntries);
        if (!answer.update)
            answer.snapshot = state.entrySnapshot(isForEntries);
    });
}

} // namespace auburnrail
