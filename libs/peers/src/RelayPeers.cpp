#include <peers/RelayPeers.h>

#include <core/RankedLock.h>

#include <algorithm>

namespace auburnrail {

namespace {

// FNV-1a and the finalizer of SplitMix64: the same in all processes, unlike the hashes of Abseil
// and of the standard library.
constexpr auto FNV_OFFSET = std::uint64_t(0xcbf29ce484222325);
constexpr auto FNV_PRIME = std::uint64_t(0x100000001b3);
/// Ends a field, so that "ab" + "c" differs from "a" + "bc".
constexpr auto FIELD_END = std::string_view("\0", 1);

auto addText(std::uint64_t hash, std::string_view text) -> std::uint64_t
{
    for (const auto byte : text) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= FNV_PRIME;
    }
    return hash;
}

auto addField(std::uint64_t hash, std::string_view text) -> std::uint64_t
{
    return addText(addText(hash, text), FIELD_END);
}

auto mix(std::uint64_t value) -> std::uint64_t
{
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9;
    value ^= value >> 27U;
    value *= 0x94d049bb133111eb;
    return value ^ (value >> 31U);
}

} // namespace

auto fingerprintOf(const std::vector<RelayPeer> &peers) -> std::uint64_t
{
    if (peers.empty())
        return 0;
    auto hash = FNV_OFFSET;
    for (const auto &peer : peers)
        hash = addField(addField(addField(hash, peer.instance), peer.zone), peer.address);
    return std::max<std::uint64_t>(mix(hash), 1);
}

auto RelayPeers::update(const std::vector<RelayPeer> &newPeers) -> void
{
    const RankedLock lock(this->mutex);
    auto failedUntil = std::map<std::string, TimePoint>();
    for (const auto &[zone, rows] : this->peersByZone) {
        for (const auto &row : rows)
            failedUntil.emplace(row.peer.instance, row.failedUntil);
    }
    this->peersByZone.clear();
    for (const auto &peer : newPeers)
        this->peersByZone[peer.zone].push_back({peer, failedUntil[peer.instance]});
    this->listFingerprint = fingerprintOf(newPeers);
}

auto RelayPeers::highestOf(std::string_view zone, std::uint64_t subject, TimePoint now)
    -> std::optional<RelayPeer>
{
    const RankedLock lock(this->mutex);
    const auto found = this->peersByZone.find(zone);
    if (found == this->peersByZone.end())
        return std::nullopt;
    const RelayPeer *chosen = nullptr;
    auto highest = std::uint64_t(0);
    for (const auto &row : found->second) {
        const auto score = mix(addText(subject, row.peer.instance));
        if (row.failedUntil > now || (chosen != nullptr && score <= highest))
            continue;
        chosen = &row.peer;
        highest = score;
    }
    return chosen == nullptr ? std::nullopt : std::optional(*chosen);
}

auto RelayPeers::holderOf(std::string_view zone, std::string_view endpoint,
                          std::string_view organisation, TimePoint now) -> std::optional<RelayPeer>
{
    return this->highestOf(zone, addField(addField(FNV_OFFSET, endpoint), organisation), now);
}

auto RelayPeers::statusHolderOf(std::string_view zone, std::string_view endpoint, TimePoint now)
    -> std::optional<RelayPeer>
{
    return this->highestOf(zone, addField(FNV_OFFSET, endpoint), now);
}

auto RelayPeers::markFailed(std::string_view instance, TimePoint until) -> void
{
    const RankedLock lock(this->mutex);
    for (auto &[zone, rows] : this->peersByZone) {
        for (auto &row : rows) {
            if (row.peer.instance == instance)
                row.failedUntil = std::max(row.failedUntil, until);
        }
    }
}

auto RelayPeers::countInZone(std::string_view zone) -> std::size_t
{
    const RankedLock lock(this->mutex);
    const auto found = this->peersByZone.find(zone);
    return found == this->peersByZone.end() ? 0 : found->second.size();
}

auto RelayPeers::fingerprint() -> std::uint64_t
{
    const RankedLock lock(this->mutex);
    return this->listFingerprint;
}

} // namespace auburnrail
