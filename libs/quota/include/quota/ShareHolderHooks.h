#ifndef AUBURNRAIL_QUOTA_SHAREHOLDERHOOKS_H
#define AUBURNRAIL_QUOTA_SHAREHOLDERHOOKS_H

#include <functional>

namespace auburnrail {

/// Notifications of a ShareHolder. Called with no mutex held; a hook may be empty.
struct ShareHolderHooks
{
    /// An organisation ran out of tokens and its demand is well above the last report, so a report
    /// should be sent early. Called at most once between two reports. The owner should wait for a
    /// response that is in flight, but not for one that the leader holds back for long polling,
    /// because a newer report invalidates that response.
    std::function<auto()->void> reportWanted;
};

} // namespace auburnrail

#endif
