#ifndef AUBURNRAIL_CALLERS_HTTPSTATUSTABLE_H
#define AUBURNRAIL_CALLERS_HTTPSTATUSTABLE_H

#include <core/ReasonCode.h>

namespace auburnrail {

/// HTTP status for a reason; 503 for reasons without an entry in the table.
[[nodiscard]] auto httpStatusOf(ReasonCode reason) -> int;

} // namespace auburnrail

#endif
