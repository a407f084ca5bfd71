#ifndef AUBURNRAIL_CONSENSUS_LOGINDEX_H
#define AUBURNRAIL_CONSENSUS_LOGINDEX_H

#include <cstdint>

namespace auburnrail {

/// One-based index of an entry in the replicated log; 0 means before the first entry.
using LogIndex = std::uint64_t;

} // namespace auburnrail

#endif
