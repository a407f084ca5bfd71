#ifndef AUBURNRAIL_CORE_REVISION_H
#define AUBURNRAIL_CORE_REVISION_H

#include <cstdint>

namespace auburnrail {

/// Revision of the fleet state: the index of the last applied consensus log entry. Never goes down.
using Revision = std::uint64_t;

} // namespace auburnrail

#endif
