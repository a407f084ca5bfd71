#ifndef AUBURNRAIL_QUOTA_SHAREAMOUNTS_H
#define AUBURNRAIL_QUOTA_SHAREAMOUNTS_H

#include <cstdint>

namespace auburnrail::detail {

/// Next value of one component (rate or burst) of a share, in milli-units. `others` is the sum of
/// the claims of all other holders. The result never grows beyond what they leave of `limit`.
/// Without `granting` it never grows, and shrinks only when the limit is exceeded.
[[nodiscard]] auto nextAmount(std::int64_t used, std::int64_t target, std::int64_t others,
                              std::int64_t limit, bool granting) -> std::int64_t;

/// Whether the change is large enough to justify an extra message.
[[nodiscard]] auto isUrgent(std::int64_t before, std::int64_t after) -> bool;

/// Whether a grant made now would change the amount urgently; `unallocated` is what is left of the
/// limit.
[[nodiscard]] auto wouldBeUrgent(std::int64_t used, std::int64_t target, std::int64_t unallocated)
    -> bool;

} // namespace auburnrail::detail

#endif
