#include <session/ReadPlan.h>

#include <algorithm>

namespace auburnrail {

namespace {

auto isFresh(const ReadCandidate &replica, const ReadNeed &need, TimePoint now) -> bool
{
    return !need.maxAge || (replica.dataTime && now - *replica.dataTime <= *need.maxAge);
}

/// A replica that misses entries of its own term catches up by itself within the usual lag. The
/// distance to a position of another term is not known.
auto isNear(const ReadCandidate &replica, Position minimum) -> bool
{
    return replica.position.term == minimum.term
           && minimum.index - replica.position.index <= ReadPlan::WAIT_MAX_ENTRIES;
}

} // namespace

auto planRead(const ReadNeed &need, std::span<const ReadCandidate> replicas, TimePoint now)
    -> ReadPlan
{
    const auto statelessWithAge = !need.session && need.maxAge;
    if (!need.minimum && !statelessWithAge)
        return ReadPlan{.target = ReadTarget::Primary, .endpoints = {}};
    const auto minimum = need.minimum.value_or(Position());

    auto ready = ReadPlan{.target = ReadTarget::Replica, .endpoints = {}};
    auto nearest = static_cast<const ReadCandidate *>(nullptr);
    for (const auto &replica : replicas) {
        if (!isFresh(replica, need, now))
            continue;
        if (replica.position >= minimum) {
            ready.endpoints.push_back(replica.endpoint);
        } else if (isNear(replica, minimum)
                   && (nearest == nullptr || nearest->position < replica.position)) {
            nearest = &replica;
        }
    }
    if (!ready.endpoints.empty())
        return ready;
    if (nearest != nullptr && !need.waited)
        return ReadPlan{.target = ReadTarget::Wait, .endpoints = {nearest->endpoint}};
    return ReadPlan{.target = ReadTarget::Primary, .endpoints = {}};
}

} // namespace auburnrail
