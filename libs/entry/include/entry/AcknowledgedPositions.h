#ifndef AUBURNRAIL_ENTRY_ACKNOWLEDGEDPOSITIONS_H
#define AUBURNRAIL_ENTRY_ACKNOWLEDGEDPOSITIONS_H

#include <entry/ObservedPositions.h>
#include <entry/StampHistory.h>

#include <heartbeat/AcknowledgedReport.h>

#include <core/Position.h>
#include <core/RankedMutex.h>
#include <core/Time.h>

#include <absl/base/thread_annotations.h>

#include <cstddef>
#include <cstdint>
#include <functional>
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
    /// Decides with `decide` whether a write that the server has completed is acknowledged, and
    /// records its position if it is. While the decision is open no report on the group is final.
    /// `decide` runs without the mutex held.
    [[nodiscard]] auto acknowledge(std::string_view group, std::optional<Position> position,
                                   const std::function<auto()->bool> &decide) -> bool;

    /// Records an acknowledged write. A server that names no position ends the reports on the group
    /// until the entry restarts.
    auto record(std::string_view group, std::optional<Position> position) -> void;

    /// Must be called once the entry sends nothing more in terms before `term`.
    auto primaryReplaced(std::string_view group, std::uint64_t term, TimePoint now) -> void;

    /// Must be called when the group has a primary, before the entry sends to it as the primary of
    /// `term`.
    auto primaryPublished(std::string_view group, std::uint64_t term) -> void;

    /// Adds a stamp of the control leader whose answer has granted a lease, after its changes have
    /// been applied. `receivedAt` must be read after the arrival.
    auto stampReceived(const LeaderStamp &stamp, TimePoint receivedAt) -> void;

    /// Adds a position that the primary of `term` named in its response to a request that was sent
    /// at `sentAt` or later.
    auto primaryNamed(std::string_view group, std::uint64_t term, Position position,
                      TimePoint sentAt) -> void;

    /// The reports that are final.
    [[nodiscard]] auto finalReports(TimePoint now) -> std::vector<AcknowledgedReport>;

private:
    struct Row
    {
        Position highest;
        std::size_t openDecisions = 0; ///< In acknowledge().
        bool isUnknown = false;        ///< A write was acknowledged without a position.
        std::uint64_t fencedIn = 0;    ///< Term without a published primary; 0: there is one.
        TimePoint fencedAt;            ///< When the entry learned of that term.
        std::uint64_t publishedIn = 0; ///< Term of the last published primary; 0: none yet.
        Position highestNamed;         ///< By that primary.
        ObservedPositions observed;    ///< Of that primary; kept while it is being replaced.
    };

    static auto add(Row &row, std::optional<Position> position) -> void;
    [[nodiscard]] ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto rowOf(std::string_view group) -> Row &;

    /// Shares the rank of PrimaryPositions, whose mutex no thread holds at the same time.
    RankedMutex mutex{LockRank::PrimaryPositions};
    StampHistory stamps ABSL_GUARDED_BY(mutex);
    std::map<std::string, Row, std::less<>> rows ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
