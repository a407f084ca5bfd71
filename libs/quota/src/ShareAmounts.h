#ifndef AUBURNRAIL_QUOTA_SHAREAMOUNTS_H
#define AUBURNRAIL_QUOTA_SHAREAMOUNTS_H

#include <cstdint>

namespace auburnrail::detail {

/// What one part (rate or burst) of a share becomes, in milli units. `others` counts the claims of
/// all other holders. Never grows past what `limit` leaves, and not at all before `lending`; then
/// it shrinks only when the limit is exceeded.
[[nodiscard]] auto nextAmount(std::int64_t used, std::int64_t target, std::int64_t others,
                              std::int64_t limit, bool lending) -> std::int64_t;

/// Whether the change is worth a message of its own.
[[nodiscard]] auto isUrgent(std::int64_t before, std::int64_t after) -> bool;

/// Whether an answer would change the amount urgently; `rest` is what is not lent.
[[nodiscard]] auto wouldBeUrgent(std::int64_t used, std::int64_t target, std::int64_t rest) -> bool;

} // namespace auburnrail::detail

#endif
