#include <control/HeartbeatService.h>

#include "ObservedIn.h"

#include <lease/LeaseTiming.h>
#include <peers/RelayPeers.h>

#include <algorithm>

namespace auburnrail {

namespace {

/// Upper bound of the hold limit that an entry may request. Leaves an entry that renews its lease
/// with each response more than a second to find another leader when this one falls silent.
constexpr auto MAX_HOLD = LEASE_DURATION * 3 / 8;

} // namespace

HeartbeatService::HeartbeatService(ControlTables &controlTables)
    : tables(controlTables)
    , updates(controlTables.store)
{
}

auto HeartbeatService::respond(const Heartbeat &heartbeat, const Done &done) -> void
{
    const auto now = this->tables.executor.now();
    const auto id = LeaseId{heartbeat.instance, heartbeat.incarnation};
    // Also renewed on arrival, because changes wait until each entry has reported their revision.
    const auto lease = this->tables.leases.renew(id, heartbeat.appliedRevision, now);
    if (lease.status != LeaseStatus::Granted) {
        auto answer = HeartbeatAnswer();
        answer.lease = lease;
        answer.leader = this->tables.hooks.leader();
        answer.members = this->members();
        this->send(answer, done);
        return;
    }
    const auto accepted = this->accept(heartbeat, now);
    // Not held before the entry has reported to this leadership: a new leader grants shares only
    // after every entry has reported, which it does after its first response.
    const auto isKnown = heartbeat.shares.leadership == this->tables.ledger.leadership();
    const auto holdLimit =
        isKnown || !accepted.mayGrantShares ? heartbeat.holdLimit : Duration::zero();
    // An entry reports what it has acknowledged with its next heartbeat after the grace time.
    const auto maxHold = this->tables.failover.awaitsReports()
                             ? this->tables.settings.failover.acknowledgementGrace
                             : MAX_HOLD;
    this->tables.heldResponses.hold(
        accepted.holder, accepted.appliedRevision,
        now + std::clamp<Duration>(holdLimit, Duration::zero(), maxHold),
        [this, accepted, done] { this->send(this->compose(accepted), done); });
}

auto HeartbeatService::send(const HeartbeatAnswer &answer, const Done &done) -> void
{
    this->tables.metrics.countHeartbeat(answer.lease.status);
    done(answer);
}

auto HeartbeatService::accept(const Heartbeat &heartbeat, TimePoint now) -> Accepted
{
    const auto mayGrantShares = this->tables.mayGrantShares(heartbeat.instance, now);
    if (mayGrantShares)
        std::ignore = this->tables.ledger.report(heartbeat.shares, now);
    this->tables.entries.record(EntryRecord{.instance = heartbeat.instance,
                                            .zone = heartbeat.zone,
                                            .operatorsAddress = heartbeat.operatorsAddress,
                                            .relayAddress = heartbeat.relayAddress,
                                            .appliedRevision = heartbeat.appliedRevision,
                                            .lastSeenAt = now});
    this->processReports(heartbeat, now);
    return Accepted{.lease = {heartbeat.instance, heartbeat.incarnation},
                    .holder = heartbeat.shares.holder,
                    .zone = heartbeat.zone,
                    .appliedRevision = heartbeat.appliedRevision,
                    .wantsPeers = !heartbeat.relayAddress.empty(),
                    .peersFingerprint = heartbeat.peersFingerprint,
                    .mayGrantShares = mayGrantShares,
                    .at = now};
}

auto HeartbeatService::compose(const Accepted &heartbeat) -> HeartbeatAnswer
{
    const auto now = this->tables.executor.now();
    auto answer = HeartbeatAnswer();
    answer.leader = this->tables.hooks.leader();
    answer.members = this->members();
    const auto update = this->updates.since(heartbeat.appliedRevision);
    answer.update = update.changes;
    answer.snapshot = update.snapshot;
    answer.entries = static_cast<std::uint32_t>(this->tables.leases.size());
    answer.zoneEntries =
        static_cast<std::uint32_t>(this->tables.entries.countInZone(heartbeat.zone, now));
    if (heartbeat.wantsPeers)
        answer.peers = this->peersBeyond(heartbeat.peersFingerprint, now);
    answer.lease = this->tables.leases.renew(heartbeat.lease, heartbeat.appliedRevision, now);
    if (answer.lease.status != LeaseStatus::Granted)
        return answer;
    answer.stamp = LeaderStamp{.leadership = this->tables.ledger.leadership(), .at = now};
    // The holder counts from when it sent the heartbeat, which was before it arrived here.
    answer.lease.duration += withoutDrift(now - heartbeat.at);
    if (heartbeat.mayGrantShares)
        answer.shares = this->tables.ledger.grant(heartbeat.holder, now);
    return answer;
}

auto HeartbeatService::members() const -> std::vector<std::string>
{
    return this->tables.hooks.members ? this->tables.hooks.members() : std::vector<std::string>();
}

auto HeartbeatService::peersBeyond(std::uint64_t fingerprint, TimePoint now)
    -> std::shared_ptr<const std::vector<RelayPeer>>
{
    auto peers = this->tables.entries.relayPeers(now);
    if (peers == nullptr || peers->empty() || fingerprintOf(*peers) == fingerprint)
        return nullptr;
    return peers;
}

auto HeartbeatService::processReports(const Heartbeat &heartbeat, TimePoint now) -> void
{
    for (const auto &report : heartbeat.primaries) {
        const auto isFirst = this->tables.failover.reportSuspicion(
            heartbeat.instance, report.group, report.term, report.unreachableFor, now);
        // The decision needs what the other entries see of this primary.
        if (isFirst)
            this->tables.heldResponses.releaseAll(now);
    }
    const auto leadership = this->tables.ledger.leadership();
    for (const auto &report : heartbeat.acknowledged) {
        this->tables.failover.reportAcknowledged({heartbeat.instance, heartbeat.incarnation},
                                                 report.group, report.term, report.position,
                                                 observedIn(leadership, report.observed), now);
    }
    for (const auto &contribution : heartbeat.burn)
        std::ignore = this->tables.burn.merge(contribution, this->tables.hooks.wallClock());
    if (heartbeat.endpoints.empty())
        return;
    const auto state = this->tables.store.objects();
    for (const auto &announcement : heartbeat.endpoints) {
        if (!this->tables.checkAnnounced(announcement).ok())
            continue;
        auto decision = this->tables.decide(announcement, state, now);
        if (decision.verdict == AnnouncementVerdict::Accepted) {
            this->tables.failover.endpointSeen(announcement.group, announcement.endpoint,
                                               announcement.term);
        }
        for (auto &body : decision.commands)
            this->tables.submitInternal(std::move(body));
    }
}

} // namespace auburnrail
