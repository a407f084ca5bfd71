#include <failover/detail/AcknowledgedPosition.h>

#include <algorithm>
#include <compare>
#include <iterator>

namespace auburnrail::detail {

auto AcknowledgedPosition::restore(Position position) -> void
{
    this->highest = std::max(this->highest, position);
    this->settled = position;
}

auto AcknowledgedPosition::giveUpAfter(Position position) -> void
{
    this->givenUpAfter = position;
}

auto AcknowledgedPosition::report(const LeaseId &holder, Position position,
                                  const std::vector<ObservedPosition> &observed) -> void
{
    this->reported.insert(holder);
    const auto isGivenUp = this->givenUpAfter && position.term <= this->givenUpAfter->term;
    this->highest =
        std::max(this->highest, isGivenUp ? std::min(position, *this->givenUpAfter) : position);
    for (const auto &observation : observed)
        this->observe(observation);
    this->settle();
}

auto AcknowledgedPosition::expect(const std::optional<LeaseCensus> &leases, Duration graceTime)
    -> void
{
    if (!leases || this->settled)
        return;
    // A lease that began after the first census names the new term. Of those that end later, only
    // the ones of the first census matter, and of these the ones without a report.
    if (!this->expected || this->hasLostHolder(*leases))
        this->unreportedUntil = std::max(this->unreportedUntil, leases->lastExpiry);
    else
        this->unreportedUntil = std::min(this->unreportedUntil, leases->lastExpiry);
    this->expected = std::set<LeaseId>(leases->holders.begin(), leases->holders.end());
    this->grace = graceTime;
    this->settle();
}

auto AcknowledgedPosition::isAwaited() const -> bool
{
    return this->expected && this->isMissing();
}

auto AcknowledgedPosition::atLeast() const -> Position
{
    return this->highest;
}

auto AcknowledgedPosition::known() const -> std::optional<Position>
{
    return this->settled;
}

auto AcknowledgedPosition::isMissing() const -> bool
{
    return !std::includes(this->reported.begin(), this->reported.end(), this->expected->begin(),
                          this->expected->end());
}

auto AcknowledgedPosition::hasLostHolder(const LeaseCensus &leases) const -> bool
{
    return std::any_of(this->expected->begin(), this->expected->end(), [&](const LeaseId &holder) {
        return !this->reported.contains(holder)
               && std::find(leases.holders.begin(), leases.holders.end(), holder)
                      == leases.holders.end();
    });
}

auto AcknowledgedPosition::observe(const ObservedPosition &observation) -> void
{
    const auto next = this->observations.lower_bound(observation.after);
    if (next != this->observations.end() && std::is_lteq(next->second <=> observation.position))
        return;
    const auto added =
        this->observations.insert_or_assign(observation.after, observation.position).first;
    while (added != this->observations.begin()
           && std::is_gteq(std::prev(added)->second <=> observation.position))
        this->observations.erase(std::prev(added));
}

auto AcknowledgedPosition::settle() -> void
{
    if (this->settled || !this->expected || this->isMissing())
        return;
    if (!this->unreportedUntil) {
        // Without any entry nobody tells what was acknowledged.
        if (!this->expected->empty())
            this->settled = this->highest;
        return;
    }
    const auto found = this->observations.lower_bound(*this->unreportedUntil + this->grace);
    if (found != this->observations.end())
        this->settled = std::max(this->highest, found->second);
}

} // namespace auburnrail::detail
