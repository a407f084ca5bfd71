#ifndef AUBURNRAIL_CORE_MONOTONICCLOCK_H
#define AUBURNRAIL_CORE_MONOTONICCLOCK_H

#include <core/Time.h>

namespace auburnrail {

/// Time that never goes back and also passes while the instance is suspended. Leases and ages of
/// data rest on it: by the system's steady clock, which stands still then, a lease would be held
/// for longer than its other side counts.
[[nodiscard]] auto monotonicNow() -> TimePoint;

} // namespace auburnrail

#endif
