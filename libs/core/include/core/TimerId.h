#ifndef AUBURNRAIL_CORE_TIMERID_H
#define AUBURNRAIL_CORE_TIMERID_H

#include <cstdint>

namespace auburnrail {

/// Names a timer of one TimerQueue; 0 names none.
using TimerId = std::uint64_t;

} // namespace auburnrail

#endif
