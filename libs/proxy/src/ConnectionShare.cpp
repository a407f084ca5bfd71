#include <proxy/ConnectionShare.h>

#include <algorithm>

namespace auburnrail {

namespace {

// Weights of entries, relative to an entry outside the server's zone, in halves.
constexpr auto REMOTE_WEIGHT = std::size_t(2);
constexpr auto LOCAL_WEIGHT_AT_PRIMARY = std::size_t(3);
constexpr auto LOCAL_WEIGHT_AT_REPLICA = std::size_t(8);
/// Minimum number of zones in a fleet. Used where the number of entries in a server's zone isn't
/// known.
constexpr auto ASSUMED_ZONES = std::size_t(3);
/// Part of a server's connections that its holders leave to other entries.
constexpr auto DIRECT_RESERVE_DIVISOR = std::size_t(8);

/// Share of the connections, rounded down.
auto wholeShare(const ConnectionShareInputs &inputs) -> std::size_t
{
    const auto entries = std::max<std::size_t>(inputs.entries, 1);
    const auto localEntries = std::clamp<std::size_t>(
        inputs.isLocal ? inputs.zoneEntries : entries / ASSUMED_ZONES, 1, entries);
    const auto localWeight = inputs.isPrimary ? LOCAL_WEIGHT_AT_PRIMARY : LOCAL_WEIGHT_AT_REPLICA;
    const auto totalWeight = localEntries * localWeight + (entries - localEntries) * REMOTE_WEIGHT;
    const auto ownWeight = inputs.isLocal ? localWeight : REMOTE_WEIGHT;
    return inputs.connections * ownWeight / totalWeight;
}

} // namespace

auto connectionShare(const ConnectionShareInputs &inputs) -> std::size_t
{
    return std::max<std::size_t>(wholeShare(inputs), 1);
}

auto idlePolicyFor(const ConnectionShareInputs &inputs) -> IdlePolicy
{
    return wholeShare(inputs) >= 1 ? IdlePolicy::Keep : IdlePolicy::Close;
}

auto isRelayed(const ConnectionShareInputs &inputs) -> bool
{
    auto outside = inputs;
    outside.isLocal = false;
    outside.isPrimary = true;
    return inputs.connections > 0 && wholeShare(outside) == 0;
}

auto holderShare(std::size_t connections, std::size_t holders) -> std::size_t
{
    const auto divided = connections - connections / DIRECT_RESERVE_DIVISOR;
    return std::max<std::size_t>(divided / std::max<std::size_t>(holders, 1), 1);
}

} // namespace auburnrail
