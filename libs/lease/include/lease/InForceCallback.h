#ifndef AUBURNRAIL_LEASE_INFORCECALLBACK_H
#define AUBURNRAIL_LEASE_INFORCECALLBACK_H

#include <functional>

namespace auburnrail {

/// Called exactly once: with true when the revision is in force, or with false when this member's
/// leadership ended first and the outcome is unknown.
using InForceCallback = std::function<auto(bool inForce)->void>;

} // namespace auburnrail

#endif
