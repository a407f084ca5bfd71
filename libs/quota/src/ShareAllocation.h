#ifndef AUBURNRAIL_QUOTA_SHAREALLOCATION_H
#define AUBURNRAIL_QUOTA_SHAREALLOCATION_H

#include <quota/detail/OrganisationShares.h>

namespace auburnrail::detail {

/// Sets the target of every claim of `shares`. Targets sum to at most the limits.
///
/// Half of the rate is guaranteed: it is divided evenly over the zones of the active holders, then
/// over the holders in each zone, and each holder gets its part up to its demand. The rest is
/// allocated by demand with max-min fairness. The guaranteed part of an idle holder is granted to
/// others meanwhile. A fraction of the rate without demand stays unallocated, so that a holder that
/// becomes active gets a share immediately.
///
/// A bucket below one token never admits a request, and one of a few tokens is often empty while
/// others are full. The fewer tokens of burst there are for each holder that uses the limits, the
/// smaller is the part that is divided; with too few all targets are 0, and requests get single
/// tokens from the reserve.
auto allocateShares(OrganisationShares &shares) -> void;

} // namespace auburnrail::detail

#endif
