#ifndef AUBURNRAIL_STORAGE_HARDSTATE_H
#define AUBURNRAIL_STORAGE_HARDSTATE_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// What a member must remember about elections across a restart.
struct HardState
{
    std::uint64_t term = 0;
    std::string vote; ///< Member that got this member's vote in `term`; empty when none did.

    auto operator==(const HardState &) const -> bool = default;
};

} // namespace auburnrail

#endif
