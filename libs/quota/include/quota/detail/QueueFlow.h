#ifndef AUBURNRAIL_QUOTA_DETAIL_QUEUEFLOW_H
#define AUBURNRAIL_QUOTA_DETAIL_QUEUEFLOW_H

#include <quota/Waiter.h>

#include <list>

namespace auburnrail::detail {

/// The waiters of one organisation in a FairQueue. Tags are in virtual seconds: service time
/// divided by weight.
struct QueueFlow
{
    double weight = 1.0;
    double startTag = 0;  ///< Of the first waiter.
    double finishTag = 0; ///< Of the last admitted waiter.
    std::list<Waiter> waiting;
};

} // namespace auburnrail::detail

#endif
