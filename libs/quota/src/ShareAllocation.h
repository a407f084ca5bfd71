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
/// A bucket below one token never admits a request. Each share's burst is therefore at least one
/// token, and when there are more active holders than whole tokens of burst, only as many holders
/// as there are tokens get a share: holders with demand first, in rotation.
auto allocateShares(OrganisationShares &shares, TimePoint now) -> void;

} // namespace auburnrail::detail

#endif
