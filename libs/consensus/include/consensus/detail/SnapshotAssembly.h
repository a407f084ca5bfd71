#ifndef AUBURNRAIL_CONSENSUS_DETAIL_SNAPSHOTASSEMBLY_H
#define AUBURNRAIL_CONSENSUS_DETAIL_SNAPSHOTASSEMBLY_H

#include <consensus/Snapshot.h>
#include <consensus/SnapshotRequest.h>

#include <cstdint>
#include <optional>

namespace auburnrail::detail {

/// Puts the chunks of a received snapshot together. Lost, repeated and reordered chunks are
/// answered with the offset that is needed next.
class SnapshotAssembly
{
public:
    /// Takes a chunk and returns the snapshot when it was the last one.
    [[nodiscard]] auto add(const SnapshotRequest &request) -> std::optional<Snapshot>;

    /// Offset in bytes of the chunk that is needed next.
    [[nodiscard]] auto nextOffset() const -> std::uint64_t;

private:
    Snapshot partial;
};

} // namespace auburnrail::detail

#endif
