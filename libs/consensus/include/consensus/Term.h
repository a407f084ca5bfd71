#ifndef AUBURNRAIL_CONSENSUS_TERM_H
#define AUBURNRAIL_CONSENSUS_TERM_H

#include <cstdint>

namespace auburnrail {

/// Raft term, the number of an election. A term has at most one leader.
using Term = std::uint64_t;

} // namespace auburnrail

#endif
