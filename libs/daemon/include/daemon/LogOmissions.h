#ifndef AUBURNRAIL_DAEMON_LOGOMISSIONS_H
#define AUBURNRAIL_DAEMON_LOGOMISSIONS_H

#include <cstdint>

namespace auburnrail {

/// Lines that were not written since the last one that was.
struct LogOmissions
{
    std::uint64_t routine = 0;
    std::uint64_t failures = 0;
};

} // namespace auburnrail

#endif
