#ifndef AUBURNRAIL_QUOTA_SHAREALLOCATION_H
#define AUBURNRAIL_QUOTA_SHAREALLOCATION_H

#include <quota/detail/OrganisationShares.h>

namespace auburnrail::detail {

/// Sets the target of every claim of `shares`. Targets sum up to at most the limits.
///
/// Half of the rate is guaranteed: spread evenly over the zones of the active holders and then over
/// the holders in each zone, each gets its part as far as it has demand for it. The rest follows
/// demand, max-min fair. What is guaranteed to an idle holder is lent to others meanwhile. A part
/// of what no one asks for stays unlent, so that a holder that becomes active gets a share at once.
///
/// A capacity below one token never admits a request. So each holder's burst is at least one token,
/// and when there are more active holders than whole tokens of burst, as many as there are tokens
/// get a share: those with requests first, in turns.
auto allocateShares(OrganisationShares &shares, TimePoint now) -> void;

} // namespace auburnrail::detail

#endif
