#ifndef AUBURNRAIL_STORAGE_HARDSTATE_H
#define AUBURNRAIL_STORAGE_HARDSTATE_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Election state that a member must keep across restarts.
struct HardState
{
    std::uint64_t term = 0;
    std::string vote; ///< Member that this member voted for in `term`; empty if none.

    auto operator==(const HardState &) const -> bool = default;
};

} // namespace auburnrail

#endif
