#ifndef AUBURNRAIL_CONTROL_CONTROLMETRICS_H
#define AUBURNRAIL_CONTROL_CONTROLMETRICS_H

#include <control/ControlGauges.h>

#include <lease/LeaseStatus.h>
#include <observe/EnumCounters.h>

#include <core/Time.h>

#include <absl/status/status.h>

#include <string>

namespace auburnrail {

/// Counters and latencies of one control member. Safe from any thread.
class ControlMetrics
{
public:
    ControlMetrics();

    /// A heartbeat was answered.
    auto countHeartbeat(LeaseStatus status) -> void;

    /// A command of an operator or of the system has an outcome; `took` is from its proposal.
    auto countCommand(const absl::Status &outcome, Duration took) -> void;

    /// A whole configuration was answered.
    auto countConfiguration(const absl::Status &outcome, Duration took) -> void;

    /// All metrics in the text exposition format, with the gauges as given.
    [[nodiscard]] auto toText(const ControlGauges &gauges) -> std::string;

private:
    auto count(std::string_view name, std::string_view help, std::string_view outcome) -> void;
    auto record(std::string_view name, std::string_view help, Duration took) -> void;
    auto set(std::string_view name, std::string_view help, double value) -> void;

    Metrics metrics;
    EnumCounters<LeaseStatus> heartbeats; ///< The most frequent event, so registered once.
};

} // namespace auburnrail

#endif
