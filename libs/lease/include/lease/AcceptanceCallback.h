#ifndef AUBURNRAIL_LEASE_ACCEPTANCECALLBACK_H
#define AUBURNRAIL_LEASE_ACCEPTANCECALLBACK_H

#include <functional>

namespace auburnrail {

/// Called once: with true when the revision is in force, with false when leadership ended first, so
/// that it is not known.
using AcceptanceCallback = std::function<auto(bool inForce)->void>;

} // namespace auburnrail

#endif
