#ifndef AUBURNRAIL_QUOTA_SHAREHOLDERHOOKS_H
#define AUBURNRAIL_QUOTA_SHAREHOLDERHOOKS_H

#include <functional>

namespace auburnrail {

/// Effects of a ShareHolder. Called with no mutex held; a hook may be empty.
struct ShareHolderHooks
{
    /// An organisation without a share has requests that no report mentions yet, so a report is
    /// worth sending early. Called once between two reports. The owner should wait for an answer
    /// that is on its way: a newer report makes that answer void.
    std::function<auto()->void> reportWanted;
};

} // namespace auburnrail

#endif
