#ifndef AUBURNRAIL_STATE_PUBLISHPRIMARY_H
#define AUBURNRAIL_STATE_PUBLISHPRIMARY_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Ends the fencing of `term` with a primary; `term` must be the current one.
struct PublishPrimary
{
    std::string group;
    std::uint64_t term = 0;
    std::string endpoint;

    auto operator==(const PublishPrimary &) const -> bool = default;
};

} // namespace auburnrail

#endif
