#ifndef AUBURNRAIL_CONTROL_CONTROLMETRICS_H
#define AUBURNRAIL_CONTROL_CONTROLMETRICS_H

#include <control/AnnouncementVerdict.h>
#include <control/ControlGauges.h>
#include <control/DepartureOutcome.h>
#include <control/FailoverMetrics.h>

#include <lease/LeaseStatus.h>
#include <observe/EnumCounters.h>

#include <core/Time.h>

#include <absl/status/status.h>

#include <atomic>
#include <cstdint>
#include <string>

namespace auburnrail {

/// Counters and latencies of one control member. Safe from any thread.
class ControlMetrics
{
public:
    ControlMetrics();

    /// Counts a heartbeat that was responded to.
    auto countHeartbeat(LeaseStatus status) -> void;

    /// Heartbeats responded to so far.
    [[nodiscard]] auto heartbeatCount() const -> std::uint64_t;

    /// Counts an announcement of an endpoint.
    auto countAnnouncement(AnnouncementVerdict verdict) -> void;

    /// Counts a departure that may be acknowledged.
    auto countDeparture(DepartureOutcome outcome) -> void;

    /// Counts a command of an operator or of the system whose outcome is known; `took` is the time
    /// since its proposal.
    auto countCommand(const absl::Status &outcome, Duration took) -> void;

    /// Counts a request to replace the whole configuration; `took` is the time until its response.
    auto countConfiguration(const absl::Status &outcome, Duration took) -> void;

    [[nodiscard]] auto failovers() -> FailoverMetrics &;

    /// Shows whether operators have evacuated the zone.
    auto setZoneEvacuated(const std::string &zone, bool evacuated) -> void;

    /// All metrics in the text exposition format, with the gauges set to the given values.
    [[nodiscard]] auto toText(const ControlGauges &gauges) -> std::string;

private:
    auto count(std::string_view name, std::string_view help, std::string_view outcome) -> void;
    auto record(std::string_view name, std::string_view help, Duration took) -> void;
    auto set(std::string_view name, std::string_view help, double value) -> void;

    Metrics metrics;
    EnumCounters<LeaseStatus>
        heartbeats; ///< Registered once, since heartbeats are the most frequent event.
    EnumCounters<AnnouncementVerdict> announcements;
    EnumCounters<DepartureOutcome> departures;
    FailoverMetrics failoverMetrics;
    std::atomic<std::uint64_t> heartbeatsResponded{0};
};

} // namespace auburnrail

#endif
