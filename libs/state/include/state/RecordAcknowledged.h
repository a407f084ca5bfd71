#ifndef AUBURNRAIL_STATE_RECORDACKNOWLEDGED_H
#define AUBURNRAIL_STATE_RECORDACKNOWLEDGED_H

#include <core/Position.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// Keeps the highest position that entries have acknowledged in a group that is being fenced;
/// `term` must be the current one. Holds until a primary is published.
struct RecordAcknowledged
{
    std::string group;
    std::uint64_t term = 0;
    Position position;

    auto operator==(const RecordAcknowledged &) const -> bool = default;
};

} // namespace auburnrail

#endif
