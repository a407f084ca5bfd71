#ifndef AUBURNRAIL_QUOTA_SHAREHOLDERHOOKS_H
#define AUBURNRAIL_QUOTA_SHAREHOLDERHOOKS_H

#include <functional>

namespace auburnrail {

/// Effects of a ShareHolder. Called with no mutex held; a hook may be empty.
struct ShareHolderHooks
{
    /// An organisation ran out of tokens and has much more demand than the last report said, so a
    /// report is worth sending early. Called at most once between two reports. The owner should
    /// wait for an answer that is on its way, but not for one that the leader holds back: a newer
    /// report voids it.
    std::function<auto()->void> reportWanted;
};

} // namespace auburnrail

#endif
