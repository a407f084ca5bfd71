#ifndef AUBURNRAIL_STATE_ENDPOINT_H
#define AUBURNRAIL_STATE_ENDPOINT_H

#include <core/Labels.h>
#include <core/Revision.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// One database server of a group, as described by its announcement.
struct Endpoint
{
    std::string name;
    std::string group;
    std::string zone;
    std::string address; ///< IP:port
    std::uint32_t connectionLimit = 0;
    bool leaving = false; ///< Gets no new work.
    /// Start of its process by its own wall clock, in milliseconds; 0: not stated. Tells which of
    /// several processes that used the same name or address is the latest.
    std::uint64_t startedAt = 0;
    Labels labels;
    Revision changedAt = 0; ///< Revision of the last change of this object.

    auto operator==(const Endpoint &) const -> bool = default;
};

} // namespace auburnrail

#endif
