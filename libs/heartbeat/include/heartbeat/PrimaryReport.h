#ifndef AUBURNRAIL_HEARTBEAT_PRIMARYREPORT_H
#define AUBURNRAIL_HEARTBEAT_PRIMARYREPORT_H

#include <core/Time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnrail {

/// What an entry sees of the primary of one group that it serves.
struct PrimaryReport
{
    std::string group;
    std::uint64_t term = 0;
    std::optional<Duration> unreachableFor; ///< Nothing: the primary answers.
};

} // namespace auburnrail

#endif
