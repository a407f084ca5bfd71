#ifndef AUBURNRAIL_STATE_PUBLISHPRIMARY_H
#define AUBURNRAIL_STATE_PUBLISHPRIMARY_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Publishes the primary of `term` and ends its fencing phase; `term` must be the current one.
struct PublishPrimary
{
    std::string group;
    std::uint64_t term = 0;
    std::string endpoint;

    auto operator==(const PublishPrimary &) const -> bool = default;
};

} // namespace auburnrail

#endif
