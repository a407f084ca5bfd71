#ifndef AUBURNRAIL_CONSENSUS_SNAPSHOT_H
#define AUBURNRAIL_CONSENSUS_SNAPSHOT_H

#include <consensus/Configuration.h>
#include <consensus/LogIndex.h>
#include <consensus/Term.h>

#include <string>

namespace auburnrail {

/// State of the state machine after the entry at `index`, with the term and the configuration that
/// replication needs to continue from there.
struct Snapshot
{
    LogIndex index = 0;
    Term term = 0; ///< Term of the entry at `index`.
    Configuration configuration;
    std::string content;

    auto operator==(const Snapshot &) const -> bool = default;
};

} // namespace auburnrail

#endif
