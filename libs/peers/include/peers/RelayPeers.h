#ifndef AUBURNRAIL_PEERS_RELAYPEERS_H
#define AUBURNRAIL_PEERS_RELAYPEERS_H

#include <peers/RelayPeer.h>

#include <core/RankedMutex.h>
#include <core/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnrail {

/// The entries that run statements for others, by availability zone, and the choice among them.
/// Rendezvous hashing gives every entry with the same list the same answer, and moves only the
/// organisations of a peer that leaves. Answers load spread over more pairs of entry and
/// organisation than a server accepts connections. Thread-safe.
class RelayPeers
{
public:
    /// A peer that failed is passed over for this long. Longer than a restart of its process, and
    /// short enough for its connections to servers to be still open after a short pause.
    static constexpr auto FAILED_FOR_MS = std::chrono::milliseconds(2000);

    /// Replaces the list. Marks of peers that remain are kept.
    auto update(const std::vector<RelayPeer> &newPeers) -> void;

    /// The peer of `zone` through which statements of the organisation reach the server. Nothing if
    /// the zone has no peer, or all of them have failed lately.
    [[nodiscard]] auto holderOf(std::string_view zone, std::string_view endpoint,
                                std::string_view organisation, TimePoint now)
        -> std::optional<RelayPeer>;

    /// The peer of `zone` that asks the server for its status on behalf of all entries.
    [[nodiscard]] auto statusHolderOf(std::string_view zone, std::string_view endpoint,
                                      TimePoint now) -> std::optional<RelayPeer>;

    /// Passes the peer over until `until`.
    auto markFailed(std::string_view instance, TimePoint until) -> void;

    /// Number of peers in the zone, failed ones included.
    [[nodiscard]] auto countInZone(std::string_view zone) -> std::size_t;

    /// Equal for equal lists; 0 for an empty one.
    [[nodiscard]] auto fingerprint() -> std::uint64_t;

private:
    struct Row
    {
        RelayPeer peer;
        TimePoint failedUntil;
    };

    [[nodiscard]] auto highestOf(std::string_view zone, std::uint64_t subject, TimePoint now)
        -> std::optional<RelayPeer>;

    RankedMutex mutex{LockRank::RelayPeers};
    std::map<std::string, std::vector<Row>, std::less<>> peersByZone ABSL_GUARDED_BY(mutex);
    std::uint64_t listFingerprint ABSL_GUARDED_BY(mutex) = 0;
};

/// Equal for equal lists in the same order, in all processes; 0 for an empty list.
[[nodiscard]] auto fingerprintOf(const std::vector<RelayPeer> &peers) -> std::uint64_t;

} // namespace auburnrail

#endif
