#ifndef AUBURNRAIL_QUOTA_ADMITTED_H
#define AUBURNRAIL_QUOTA_ADMITTED_H

namespace auburnrail {

/// The waiter holds a slot of the FairQueue, to be freed with `release`.
struct Admitted
{
};

} // namespace auburnrail

#endif
