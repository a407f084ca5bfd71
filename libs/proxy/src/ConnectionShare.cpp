#include <proxy/ConnectionShare.h>

#include <algorithm>

namespace auburnrail {

namespace {

// Weights of an entry in the server's zone against one elsewhere, in halves.
constexpr auto REMOTE_WEIGHT = std::size_t(2);
constexpr auto LOCAL_WEIGHT_AT_PRIMARY = std::size_t(3);
constexpr auto LOCAL_WEIGHT_AT_REPLICA = std::size_t(8);
/// Zones that a fleet has at least; used where the number of entries near a server isn't known.
constexpr auto ASSUMED_ZONES = std::size_t(3);

} // namespace

auto connectionShare(const ConnectionSharers &sharers) -> std::size_t
{
    const auto entries = std::max<std::size_t>(sharers.entries, 1);
    const auto near = std::clamp<std::size_t>(
        sharers.isLocal ? sharers.zoneEntries : entries / ASSUMED_ZONES, 1, entries);
    const auto localWeight = sharers.isPrimary ? LOCAL_WEIGHT_AT_PRIMARY : LOCAL_WEIGHT_AT_REPLICA;
    const auto total = near * localWeight + (entries - near) * REMOTE_WEIGHT;
    const auto own = sharers.isLocal ? localWeight : REMOTE_WEIGHT;
    return std::max<std::size_t>(sharers.connections * own / total, 1);
}

} // namespace auburnrail
