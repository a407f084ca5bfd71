#ifndef AUBURNRAIL_QUOTA_QUEUED_H
#define AUBURNRAIL_QUOTA_QUEUED_H

namespace auburnrail {

/// The waiter is in the FairQueue; a hook reports later whether it was admitted or refused.
struct Queued
{
};

} // namespace auburnrail

#endif
