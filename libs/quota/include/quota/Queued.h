#ifndef AUBURNRAIL_QUOTA_QUEUED_H
#define AUBURNRAIL_QUOTA_QUEUED_H

namespace auburnrail {

/// The waiter has a place in the FairQueue; a hook tells later how it ended.
struct Queued
{
};

} // namespace auburnrail

#endif
