#ifndef AUBURNRAIL_CONSENSUS_SNAPSHOT_H
#define AUBURNRAIL_CONSENSUS_SNAPSHOT_H

#include <consensus/Configuration.h>
#include <consensus/LogIndex.h>
#include <consensus/Term.h>

#include <string>

namespace auburnrail {

/// State of the caller after the entry at `index`, with what agreement needs to go on from there.
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
