#ifndef AUBURNRAIL_CORE_PROCESSORTIME_H
#define AUBURNRAIL_CORE_PROCESSORTIME_H

#include <core/Time.h>

namespace auburnrail {

/// Processor time of this process so far, in its own code and in the system's; 0 if it is unknown.
[[nodiscard]] auto processorTime() -> Duration;

} // namespace auburnrail

#endif
