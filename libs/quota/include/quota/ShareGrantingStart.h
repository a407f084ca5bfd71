#ifndef AUBURNRAIL_QUOTA_SHAREGRANTINGSTART_H
#define AUBURNRAIL_QUOTA_SHAREGRANTINGSTART_H

#include <core/Time.h>

#include <set>
#include <string>

namespace auburnrail {

/// The moment from which a new leader's ledger grants shares and tokens.
struct ShareGrantingStart
{
    Duration waited{};        ///< Since the leadership began.
    std::string lastReporter; ///< The instance whose report was the last to come.
    /// Instances that may hold shares of the former leader and have not reported; their lease has
    /// ended.
    std::set<std::string> unreported;
};

} // namespace auburnrail

#endif
