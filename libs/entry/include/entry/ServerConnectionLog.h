#ifndef AUBURNRAIL_ENTRY_SERVERCONNECTIONLOG_H
#define AUBURNRAIL_ENTRY_SERVERCONNECTIONLOG_H

#include <observe/EnumCounters.h>
#include <proxy/ServerConnectionEvent.h>

#include <core/Time.h>

#include <array>
#include <atomic>
#include <cstdint>

namespace auburnrail {

/// Counts what happens to connections to servers, and logs the counts in regular intervals. Safe
/// from any thread, except tick(), which is for one thread at a time.
class ServerConnectionLog
{
public:
    /// Interval between two lines. Short enough to see an overload of some seconds.
    static constexpr auto INTERVAL_S = std::chrono::seconds(5);

    /// `entryMetrics` must outlive this object.
    explicit ServerConnectionLog(Metrics &entryMetrics);

    auto count(ServerConnectionEvent event) -> void;

    /// Writes a line when one is due and something has happened since the last one.
    auto tick(TimePoint now) -> void;

private:
    EnumCounters<ServerConnectionEvent> counters;
    std::array<std::atomic<std::uint64_t>, ENUM_NAMES<ServerConnectionEvent>.size()> counts{};
    TimePoint nextLine;
};

} // namespace auburnrail

#endif
