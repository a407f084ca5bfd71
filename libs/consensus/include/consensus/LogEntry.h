#ifndef AUBURNRAIL_CONSENSUS_LOGENTRY_H
#define AUBURNRAIL_CONSENSUS_LOGENTRY_H

#include <consensus/Configuration.h>
#include <consensus/EntryKind.h>
#include <consensus/Term.h>

#include <string>

namespace auburnrail {

/// One entry of the replicated log. The index is not stored: it follows from the position.
struct LogEntry
{
    Term term = 0;
    EntryKind kind = EntryKind::Noop;
    std::string payload;         ///< Set for EntryKind::Command.
    Configuration configuration; ///< Set for EntryKind::Configuration.

    auto operator==(const LogEntry &) const -> bool = default;
};

} // namespace auburnrail

#endif
