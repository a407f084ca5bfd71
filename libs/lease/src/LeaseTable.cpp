#include <lease/LeaseTable.h>

#include <lease/LeaseTiming.h>

#include <core/RankedLock.h>

#include <algorithm>

namespace auburnrail {

namespace {

auto callAll(const std::vector<AcceptanceCallback> &callbacks, bool inForce) -> void
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
    this->unknownUntil = now + LEASE_LIVE_DURATION;
    this->floor = std::max(this->floor, committed);
    this->expiries.clear();
    this->leasesAt.clear();
    this->rows.clear();
}

auto LeaseTable::endLeadership() -> void
{
    auto callbacks = std::vector<AcceptanceCallback>();
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
    auto accepted = std::vector<AcceptanceCallback>();
    {
        const RankedLock lock(this->mutex);
        if (!this->leading || !quorum)
            return LeaseGrant{.status = LeaseStatus::NotLeader};
        this->dropExpired(now);
        const auto [row, isNew] = this->rows.try_emplace(id);
        if (!isNew) {
            if (revision < row->second.named)
                return LeaseGrant{.status = LeaseStatus::LowerRevision};
            this->unlink(row);
        }
        // The holder uses the lease only from the minimum revision on, and it can't use an earlier
        // lease of a lower one: that would be live here.
        row->second.named = revision;
        row->second.revision = std::max({revision, this->floor, row->second.revision});
        row->second.expiresAt = std::max(row->second.expiresAt, now + LEASE_LIVE_DURATION);
        this->link(row);
        grant = LeaseGrant{.status = LeaseStatus::Granted,
                           .duration = LEASE_DURATION,
                           .minimumRevision = this->floor};
        accepted = this->takeAccepted(now);
    }
    callAll(accepted, true);
    return grant;
}

auto LeaseTable::isInForce(Revision revision, TimePoint now) -> bool
{
    const auto quorum = this->hooks.hasQuorum(now);
    const RankedLock lock(this->mutex);
    this->dropExpired(now);
    if (!quorum || !this->isNamedByAll(revision, now))
        return false;
    this->floor = std::max(this->floor, revision);
    return true;
}

auto LeaseTable::whenInForce(Revision revision, AcceptanceCallback callback) -> void
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
    auto accepted = std::vector<AcceptanceCallback>();
    {
        const RankedLock lock(this->mutex);
        this->dropExpired(now);
        if (quorum)
            accepted = this->takeAccepted(now);
    }
    callAll(accepted, true);
}

auto LeaseTable::nextExpiry(TimePoint now) const -> std::optional<TimePoint>
{
    const RankedLock lock(this->mutex);
    if (!this->leading)
        return std::nullopt;
    auto next = std::optional<TimePoint>();
    if (this->unknownUntil > now)
        next = this->unknownUntil;
    if (this->expiries.empty())
        return next;
    const auto first = this->expiries.begin()->first;
    return next ? std::min(*next, first) : first;
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
        this->unlink(row);
        this->rows.erase(row);
    }
}

auto LeaseTable::unlink(Rows::iterator row) -> void
{
    this->expiries.erase({row->second.expiresAt, &row->first});
    const auto count = this->leasesAt.find(row->second.revision);
    if (--count->second == 0)
        this->leasesAt.erase(count);
}

auto LeaseTable::link(Rows::iterator row) -> void
{
    this->expiries.emplace(row->second.expiresAt, &row->first);
    ++this->leasesAt[row->second.revision];
}

auto LeaseTable::isNamedByAll(Revision revision, TimePoint now) const -> bool
{
    return this->leading && now >= this->unknownUntil
           && (this->leasesAt.empty() || this->leasesAt.begin()->first >= revision);
}

auto LeaseTable::takeAccepted(TimePoint now) -> std::vector<AcceptanceCallback>
{
    auto accepted = std::vector<AcceptanceCallback>();
    while (!this->waiting.empty() && this->isNamedByAll(this->waiting.begin()->first, now)) {
        const auto first = this->waiting.begin();
        this->floor = std::max(this->floor, first->first);
        accepted.push_back(std::move(first->second));
        this->waiting.erase(first);
    }
    return accepted;
}

} // namespace auburnrail
