#ifndef AUBURNRAIL_STORAGE_SNAPSHOTRECORD_H
#define AUBURNRAIL_STORAGE_SNAPSHOTRECORD_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// A snapshot that replaces the log up to and including `index`. The payload is opaque to the
/// storage.
struct SnapshotRecord
{
    std::uint64_t index = 0;
    std::uint64_t term = 0; ///< Term of the entry at `index`.
    std::string payload;

    auto operator==(const SnapshotRecord &) const -> bool = default;
};

} // namespace auburnrail

#endif
