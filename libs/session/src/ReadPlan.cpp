#include <session/ReadPlan.h>

#include <algorithm>

namespace auburnrail {

namespace {

auto isFresh(const ReadCandidate &replica, const ReadRequirements &requirements, TimePoint now)
    -> bool
{
    return !requirements.maxStaleness
           || (replica.dataTime && now - *replica.dataTime <= *requirements.maxStaleness);
}

/// Whether `replica` is likely to reach `minimum` within the wait limit. A replica that lacks only
/// entries of its current term catches up within the usual replication lag; how far it is from a
/// position of another term is unknown.
auto canCatchUpInTime(const ReadCandidate &replica, Position minimum) -> bool
{
    return replica.position.term == minimum.term
           && minimum.index - replica.position.index <= ReadPlan::MAX_ENTRIES_BEHIND;
}

} // namespace

auto planRead(const ReadRequirements &requirements, std::span<const ReadCandidate> replicas,
              TimePoint now) -> ReadPlan
{
    const auto hasOnlyMaxStaleness = !requirements.session && requirements.maxStaleness;
    if (!requirements.minimum && !hasOnlyMaxStaleness)
        return ReadPlan{.target = ReadTarget::Primary, .endpoints = {}};
    const auto minimum = requirements.minimum.value_or(Position());

    auto ready = ReadPlan{.target = ReadTarget::Replica, .endpoints = {}};
    auto nearest = static_cast<const ReadCandidate *>(nullptr);
    for (const auto &replica : replicas) {
        if (!isFresh(replica, requirements, now))
            continue;
        if (replica.position >= minimum) {
            ready.endpoints.push_back(replica.endpoint);
        } else if (canCatchUpInTime(replica, minimum)
                   && (nearest == nullptr || nearest->position < replica.position)) {
            nearest = &replica;
        }
    }
    if (!ready.endpoints.empty())
        return ready;
    if (nearest != nullptr && !requirements.waited)
        return ReadPlan{.target = ReadTarget::Wait, .endpoints = {nearest->endpoint}};
    return ReadPlan{.target = ReadTarget::Primary, .endpoints = {}};
}

} // namespace auburnrail
