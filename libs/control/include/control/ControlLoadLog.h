#ifndef AUBURNRAIL_CONTROL_CONTROLLOADLOG_H
#define AUBURNRAIL_CONTROL_CONTROLLOADLOG_H

#include <quota/ShareLedgerActivity.h>

#include <core/Time.h>

#include <cstdint>

namespace auburnrail {

class ControlTables;

/// Logs in regular intervals how much work the leader has done, to tell which part of it uses the
/// processor. Used by one thread at a time.
class ControlLoadLog
{
public:
    /// Interval between two lines. Short enough to see an overload of some seconds.
    static constexpr auto INTERVAL_S = std::chrono::seconds(5);

    /// `controlTables` must outlive this object.
    explicit ControlLoadLog(ControlTables &controlTables);

    /// Writes a line when one is due and this member leads.
    auto tick(TimePoint now) -> void;

private:
    ControlTables &tables;
    TimePoint nextLine;
    ShareLedgerActivity previous;
    std::uint64_t previousHeartbeats = 0;
    std::uint64_t previousReleased = 0;
    Duration previousProcessorTime{};
};

} // namespace auburnrail

#endif
