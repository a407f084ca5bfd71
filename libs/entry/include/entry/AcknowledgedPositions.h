#ifndef AUBURNRAIL_ENTRY_ACKNOWLEDGEDPOSITIONS_H
#define AUBURNRAIL_ENTRY_ACKNOWLEDGEDPOSITIONS_H

#include <heartbeat/AcknowledgedReport.h>

#include <core/Position.h>
#include <core/RankedMutex.h>
#include <core/Time.h>

#include <absl/base/thread_annotations.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnrail {

/// The highest position that this entry has acknowledged in each group. While a group's primary is
/// being replaced, the position becomes final once the entry can't acknowledge in an earlier term
/// any more; control promotes a server that has it. Thread-safe.
class AcknowledgedPositions
{
public:
    /// Must be called before the entry decides whether it acknowledges the write, so that a final
    /// report can't miss it. A server that names no position ends the reports on the group until
    /// the entry restarts.
    auto record(std::string_view group, std::optional<Position> position) -> void;

    /// Must be called once the entry sends nothing more in terms before `term`.
    auto primaryReplaced(std::string_view group, std::uint64_t term, TimePoint now) -> void;

    /// Must be called when the group has a primary again.
    auto primaryPublished(std::string_view group) -> void;

    /// The reports that are final.
    [[nodiscard]] auto finalReports(TimePoint now) -> std::vector<AcknowledgedReport>;

private:
    struct Row
    {
        Position highest;
        bool isUnknown = false;     ///< A write was acknowledged without a position.
        std::uint64_t fencedIn = 0; ///< Term without a published primary; 0: there is one.
        TimePoint fencedAt;         ///< When the entry learned of that term.
    };

    [[nodiscard]] ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto rowOf(std::string_view group) -> Row &;

    /// Shares the rank of PrimaryPositions, whose mutex no thread holds at the same time.
    RankedMutex mutex{LockRank::PrimaryPositions};
    std::map<std::string, Row, std::less<>> rows ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
