#ifndef AUBURNRAIL_CALLERS_HTTPSTATUSTABLE_H
#define AUBURNRAIL_CALLERS_HTTPSTATUSTABLE_H

#include <core/ReasonCode.h>

namespace auburnrail {

/// HTTP status that goes with a reason.
[[nodiscard]] auto httpStatusOf(ReasonCode reason) -> int;

} // namespace auburnrail

#endif
