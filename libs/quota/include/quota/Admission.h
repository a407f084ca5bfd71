#ifndef AUBURNRAIL_QUOTA_ADMISSION_H
#define AUBURNRAIL_QUOTA_ADMISSION_H

#include <quota/Admitted.h>
#include <quota/Queued.h>
#include <quota/Refused.h>

#include <variant>

namespace auburnrail {

/// Decision of a FairQueue on a new waiter.
using Admission = std::variant<Admitted, Queued, Refused>;

} // namespace auburnrail

#endif
