#ifndef AUBURNRAIL_CONSENSUS_DETAIL_SNAPSHOTASSEMBLY_H
#define AUBURNRAIL_CONSENSUS_DETAIL_SNAPSHOTASSEMBLY_H

#include <consensus/Snapshot.h>
#include <consensus/SnapshotRequest.h>

#include <cstdint>
#include <optional>

namespace auburnrail::detail {

/// Assembles a snapshot from received chunks. Chunks that don't start at nextOffset() are ignored,
/// so that the leader resumes at that offset after lost, duplicated or reordered chunks.
class SnapshotAssembly
{
public:
    /// Adds a chunk; returns the snapshot once its last chunk was added.
    [[nodiscard]] auto add(const SnapshotRequest &request) -> std::optional<Snapshot>;

    /// Offset in bytes of the next chunk needed.
    [[nodiscard]] auto nextOffset() const -> std::uint64_t;

private:
    Snapshot partial;
};

} // namespace auburnrail::detail

#endif
