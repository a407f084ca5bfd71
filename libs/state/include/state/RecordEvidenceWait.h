#ifndef AUBURNRAIL_STATE_RECORDEVIDENCEWAIT_H
#define AUBURNRAIL_STATE_RECORDEVIDENCEWAIT_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Tells entries whether the failover of a group waits for evidence; `term` must be the current
/// one, in phase Fencing. Entries refuse at once what needs the primary meanwhile.
struct RecordEvidenceWait
{
    std::string group;
    std::uint64_t term = 0;
    bool isWaiting = false;

    auto operator==(const RecordEvidenceWait &) const -> bool = default;
};

} // namespace auburnrail

#endif
