#include <lease/LeaseTable.h>

#include <lease/LeaseTiming.h>

#include <core/RankedLock.h>

#include <algorithm>

namespace auburnrail {

namespace {

auto callAll(const std::vector<InForceCallback> &callbacks, bool inForce) -> void
{
    for (const auto &callback : callbacks)
        callback(inForce);
}

} // namespace

LeaseTable::LeaseTable(LeaseTableHooks hooks)
    : hooks(std::move(hooks))
{
}

auto LeaseTable::beginLeadership(Revision committed, TimePoint now) -> void
{
    const RankedLock lock(this->mutex);
    this->leading = true;
    this->earlierLeasesEnd = now + LEASE_LIVE_DURATION;
    this->floor = std::max(this->floor, committed);
    this->expiries.clear();
    this->leaseCounts.clear();
    this->rows.clear();
    this->ended.clear();
    this->endedOrder.clear();
    // Leases of the previous leader expire until then, unseen.
    this->earlierExpiry = this->earlierLeasesEnd;
}

auto LeaseTable::endLeadership() -> void
{
    auto callbacks = std::vector<InForceCallback>();
    {
        const RankedLock lock(this->mutex);
        this->leading = false;
        for (auto &[revision, callback] : this->waiting)
            callbacks.push_back(std::move(callback));
        this->waiting.clear();
    }
    callAll(callbacks, false);
}

auto LeaseTable::renew(const LeaseId &id, Revision revision, TimePoint now) -> LeaseGrant
{
    const auto quorum = this->hooks.hasQuorum(now);
    auto grant = LeaseGrant();
    auto reached = std::vector<InForceCallback>();
    {
        const RankedLock lock(this->mutex);
        if (!this->leading || !quorum)
            return LeaseGrant{.status = LeaseStatus::NotLeader};
        this->dropExpired(now);
        const auto [row, isNew] = this->rows.try_emplace(id);
        if (!isNew) {
            if (revision < row->second.reported)
                return LeaseGrant{.status = LeaseStatus::LowerRevision};
            this->removeFromIndexes(row);
        }
        this->removeEnded(id);
        // The holder can't use this lease below the granted minimum revision. Nor can it hold an
        // earlier lease at a lower revision, because this table would still count that one as live.
        row->second.reported = revision;
        row->second.usableFrom = std::max({revision, this->floor, row->second.usableFrom});
        row->second.expiresAt = std::max(row->second.expiresAt, now + LEASE_LIVE_DURATION);
        this->addToIndexes(row);
        grant = LeaseGrant{.status = LeaseStatus::Granted,
                           .duration = LEASE_DURATION,
                           .minimumRevision = this->floor};
        reached = this->takeInForce(now);
    }
    callAll(reached, true);
    return grant;
}

auto LeaseTable::isInForce(Revision revision, TimePoint now) -> bool
{
    const auto quorum = this->hooks.hasQuorum(now);
    const RankedLock lock(this->mutex);
    this->dropExpired(now);
    if (!quorum || !this->allLeasesReach(revision, now))
        return false;
    this->floor = std::max(this->floor, revision);
    return true;
}

auto LeaseTable::whenInForce(Revision revision, InForceCallback callback) -> void
{
    {
        const RankedLock lock(this->mutex);
        if (this->leading) {
            this->waiting.emplace(revision, std::move(callback));
            return;
        }
    }
    callback(false);
}

auto LeaseTable::advance(TimePoint now) -> void
{
    const auto quorum = this->hooks.hasQuorum(now);
    auto reached = std::vector<InForceCallback>();
    {
        const RankedLock lock(this->mutex);
        this->dropExpired(now);
        if (quorum)
            reached = this->takeInForce(now);
    }
    callAll(reached, true);
}

auto LeaseTable::nextExpiry(TimePoint now) const -> std::optional<TimePoint>
{
    const RankedLock lock(this->mutex);
    if (!this->leading)
        return std::nullopt;
    auto next = std::optional<TimePoint>();
    if (this->earlierLeasesEnd > now)
        next = this->earlierLeasesEnd;
    if (this->expiries.empty())
        return next;
    const auto first = this->expiries.begin()->first;
    return next ? std::min(*next, first) : first;
}

auto LeaseTable::census(TimePoint now) -> std::optional<LeaseCensus>
{
    const RankedLock lock(this->mutex);
    if (!this->leading || now < this->earlierLeasesEnd)
        return std::nullopt;
    this->dropExpired(now);
    auto result = LeaseCensus{.lastExpiry = this->earlierExpiry};
    if (!this->endedOrder.empty())
        result.lastExpiry = std::max(result.lastExpiry, {this->endedOrder.rbegin()->first});
    for (const auto &[id, row] : this->rows)
        result.holders.push_back(id);
    return result;
}

auto LeaseTable::size() const -> std::size_t
{
    const RankedLock lock(this->mutex);
    return this->rows.size();
}

auto LeaseTable::dropExpired(TimePoint now) -> void
{
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        const auto row = this->rows.find(*this->expiries.begin()->second);
        this->addEnded(row->first, row->second.expiresAt);
        this->removeFromIndexes(row);
        this->rows.erase(row);
    }
}

auto LeaseTable::addEnded(const LeaseId &id, TimePoint at) -> void
{
    this->ended.insert_or_assign(id, at);
    this->endedOrder.emplace(at, id);
    if (this->ended.size() <= MAX_ENDED_HOLDERS)
        return;
    const auto oldest = this->endedOrder.begin();
    this->earlierExpiry = std::max(this->earlierExpiry, {oldest->first});
    this->ended.erase(oldest->second);
    this->endedOrder.erase(oldest);
}

auto LeaseTable::removeEnded(const LeaseId &id) -> void
{
    const auto found = this->ended.find(id);
    if (found == this->ended.end())
        return;
    this->endedOrder.erase({found->second, id});
    this->ended.erase(found);
}

auto LeaseTable::removeFromIndexes(Rows::iterator row) -> void
{
    this->expiries.erase({row->second.expiresAt, &row->first});
    const auto count = this->leaseCounts.find(row->second.usableFrom);
    if (--count->second == 0)
        this->leaseCounts.erase(count);
}

auto LeaseTable::addToIndexes(Rows::iterator row) -> void
{
    this->expiries.emplace(row->second.expiresAt, &row->first);
    ++this->leaseCounts[row->second.usableFrom];
}

auto LeaseTable::allLeasesReach(Revision revision, TimePoint now) const -> bool
{
    return this->leading && now >= this->earlierLeasesEnd
           && (this->leaseCounts.empty() || this->leaseCounts.begin()->first >= revision);
}

auto LeaseTable::takeInForce(TimePoint now) -> std::vector<InForceCallback>
{
    auto reached = std::vector<InForceCallback>();
    while (!this->waiting.empty() && this->allLeasesReach(this->waiting.begin()->first, now)) {
        const auto first = this->waiting.begin();
        this->floor = std::max(this->floor, first->first);
        reached.push_back(std::move(first->second));
        this->waiting.erase(first);
    }
    return reached;
}

} // namespace auburnrail
