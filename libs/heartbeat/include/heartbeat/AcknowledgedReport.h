#ifndef AUBURNRAIL_HEARTBEAT_ACKNOWLEDGEDREPORT_H
#define AUBURNRAIL_HEARTBEAT_ACKNOWLEDGEDREPORT_H

#include <heartbeat/StampedPosition.h>

#include <core/Position.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// How far an entry has acknowledged writes in a group whose primary is being replaced. Final: the
/// entry acknowledges nothing more in a term before `term`.
struct AcknowledgedReport
{
    std::string group;
    std::uint64_t term = 0; ///< The term that the entry has applied.
    Position position;      ///< No position: it has acknowledged nothing.
    /// What the primary that is being replaced has named, by increasing stamp.
    std::vector<StampedPosition> observed;

    auto operator==(const AcknowledgedReport &) const -> bool = default;
};

} // namespace auburnrail

#endif
