#ifndef AUBURNRAIL_STATE_PUBLISHPRIMARY_H
#define AUBURNRAIL_STATE_PUBLISHPRIMARY_H

#include <core/Position.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// Publishes the primary of `term` and ends its fencing phase; `term` must be the current one.
struct PublishPrimary
{
    std::string group;
    std::uint64_t term = 0;
    std::string endpoint;
    Position start; ///< End of the log with which the endpoint was promoted.
    /// Whether an operator accepted the loss of what was acknowledged after `start`.
    bool isLossAccepted = false;

    auto operator==(const PublishPrimary &) const -> bool = default;
};

} // namespace auburnrail

#endif
