#ifndef AUBURNRAIL_ENTRY_OBSERVEDPOSITIONS_H
#define AUBURNRAIL_ENTRY_OBSERVEDPOSITIONS_H

#include <heartbeat/StampedPosition.h>

#include <core/Time.h>

#include <cstddef>
#include <vector>

namespace auburnrail {

/// What a primary has named, for stamps of the control leader: for each the lowest position of the
/// responses to requests that were sent after it. Control looks for the first stamp after the end
/// of a lease, so that a few are kept, the farther apart the older.
class ObservedPositions
{
public:
    static constexpr auto MAX_POSITIONS = std::size_t(8);
    /// Age, against the newest stamp, up to which a position is kept.
    static constexpr auto MAX_AGE = Duration(std::chrono::seconds(60));

    auto add(const StampedPosition &observation) -> void;

    /// By increasing stamp; the positions increase, too.
    [[nodiscard]] auto positions() const -> const std::vector<StampedPosition> &;

private:
    auto thin() -> void;

    std::vector<StampedPosition> observations;
};

} // namespace auburnrail

#endif
