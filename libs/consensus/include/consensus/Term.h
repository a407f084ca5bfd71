#ifndef AUBURNRAIL_CONSENSUS_TERM_H
#define AUBURNRAIL_CONSENSUS_TERM_H

#include <cstdint>

namespace auburnrail {

/// Number of an election; at most one leader exists in a term.
using Term = std::uint64_t;

} // namespace auburnrail

#endif
