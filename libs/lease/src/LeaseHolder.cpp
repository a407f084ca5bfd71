#include <lease/LeaseHolder.h>

#include <core/RankedLock.h>

#include <algorithm>

namespace auburnrail {

auto LeaseHolder::beginHeartbeat(TimePoint now) -> HeartbeatTicket
{
    const RankedLock lock(this->mutex);
    return HeartbeatTicket{.sentAt = now, .revision = this->appliedRevision};
}

auto LeaseHolder::completeHeartbeat(const HeartbeatTicket &ticket, const LeaseGrant &grant,
                                    TimePoint now) -> bool
{
    const RankedLock lock(this->mutex);
    const auto end = ticket.sentAt + grant.duration;
    if (grant.status != LeaseStatus::Granted || end <= now
        || this->appliedRevision < grant.minimumRevision)
        return false;
    // Responses may arrive out of order; keep the lease of the later heartbeat.
    this->leaseEnd = std::max(this->leaseEnd, end);
    return true;
}

auto LeaseHolder::holds(TimePoint now) const -> bool
{
    const RankedLock lock(this->mutex);
    return now < this->leaseEnd;
}

auto LeaseHolder::heldUntil() const -> TimePoint
{
    const RankedLock lock(this->mutex);
    return this->leaseEnd;
}

auto LeaseHolder::revision() const -> Revision
{
    const RankedLock lock(this->mutex);
    return this->appliedRevision;
}

auto LeaseHolder::setRevision(Revision applied) -> void
{
    const RankedLock lock(this->mutex);
    this->appliedRevision = std::max(this->appliedRevision, applied);
}

} // namespace auburnrail
