#ifndef AUBURNRAIL_STATE_GRANTTERM_H
#define AUBURNRAIL_STATE_GRANTTERM_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Starts a new term of a group, in phase Fencing; `term` must be the current one plus 1.
struct GrantTerm
{
    std::string group;
    std::uint64_t term = 0;

    auto operator==(const GrantTerm &) const -> bool = default;
};

} // namespace auburnrail

#endif
