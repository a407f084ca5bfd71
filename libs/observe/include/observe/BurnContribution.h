#ifndef AUBURNRAIL_OBSERVE_BURNCONTRIBUTION_H
#define AUBURNRAIL_OBSERVE_BURNCONTRIBUTION_H

#include <observe/BurnRow.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// What one run of one instance counted in one minute; grows until the minute is over.
struct BurnContribution
{
    std::string source; ///< Instance and incarnation: a restarted instance counts from zero.
    std::int64_t startMillis = 0; ///< Start of the minute, wall clock, milliseconds since 1970 UTC.
    std::vector<BurnRow> rows;
};

} // namespace auburnrail

#endif
