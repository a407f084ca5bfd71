#ifndef AUBURNRAIL_ENTRY_PROBELOOP_H
#define AUBURNRAIL_ENTRY_PROBELOOP_H

#include <entry/EntryTables.h>

namespace auburnrail {

/// Probes the endpoints without a recent response on the request path.
class ProbeLoop
{
public:
    /// `entryTables` must outlive the executor's tasks.
    explicit ProbeLoop(EntryTables &entryTables);

    /// Starts the timer on the tables' executor; it runs until the executor stops.
    auto start() -> void;

private:
    auto probeDueEndpoints() -> void;
    auto probe(const std::string &group, const std::string &endpoint) -> void;

    EntryTables &tables;
};

} // namespace auburnrail

#endif
