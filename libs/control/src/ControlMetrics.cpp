#include <control/ControlMetrics.h>

#include <chrono>

namespace auburnrail {

namespace {

/// Well above the number of outcomes in use, to leave room for new ones.
constexpr auto SERIES_LIMIT = std::size_t(200);

} // namespace

ControlMetrics::ControlMetrics()
    : metrics(SERIES_LIMIT)
    , heartbeats(metrics, "auburnrail_heartbeats_total",
                 "Heartbeats of entries answered, by lease status.")
    , announcements(metrics, "auburnrail_announcements_total",
                    "Announcements of endpoints, by verdict.")
    , departures(
          metrics, "auburnrail_departures_total",
          "Departures of endpoints that may be acknowledged, by what has become of what they "
          "had confirmed.")
    , failoverMetrics(metrics)
{
}

auto ControlMetrics::count(std::string_view name, std::string_view help, std::string_view outcome)
    -> void
{
    this->metrics.add(
        this->metrics.series(MetricKind::Counter, name, help, {{"outcome", std::string(outcome)}}));
}

auto ControlMetrics::record(std::string_view name, std::string_view help, Duration took) -> void
{
    this->metrics.record(this->metrics.series(MetricKind::Distribution, name, help),
                         std::chrono::duration<double>(took).count());
}

auto ControlMetrics::set(std::string_view name, std::string_view help, double value) -> void
{
    this->metrics.set(this->metrics.series(MetricKind::Gauge, name, help), value);
}

auto ControlMetrics::countHeartbeat(LeaseStatus status) -> void
{
    this->heartbeats.add(status);
    ++this->heartbeatsResponded;
}

auto ControlMetrics::countAnnouncement(AnnouncementVerdict verdict) -> void
{
    this->announcements.add(verdict);
}

auto ControlMetrics::countDeparture(DepartureOutcome outcome) -> void
{
    this->departures.add(outcome);
}

auto ControlMetrics::heartbeatCount() const -> std::uint64_t
{
    return this->heartbeatsResponded;
}

auto ControlMetrics::countCommand(const absl::Status &outcome, Duration took) -> void
{
    this->count("auburnrail_commands_total", "Commands that ended, by status.",
                absl::StatusCodeToString(outcome.code()));
    this->record("auburnrail_command_seconds", "Time from a command's proposal to its outcome.",
                 took);
}

auto ControlMetrics::countConfiguration(const absl::Status &outcome, Duration took) -> void
{
    this->count("auburnrail_configurations_total", "Whole configurations answered, by status.",
                absl::StatusCodeToString(outcome.code()));
    this->record("auburnrail_configuration_seconds",
                 "Time from the arrival of a configuration to its answer.", took);
}

auto ControlMetrics::failovers() -> FailoverMetrics &
{
    return this->failoverMetrics;
}

auto ControlMetrics::setZoneEvacuated(const std::string &zone, bool evacuated) -> void
{
    const auto gauge =
        this->metrics.series(MetricKind::Gauge, "auburnrail_zone_evacuated",
                             "1 while the zone's endpoints get no new work.", {{"zone", zone}});
    this->metrics.set(gauge, evacuated ? 1 : 0);
}

auto ControlMetrics::toText(const ControlGauges &gauges) -> std::string
{
    this->set("auburnrail_leading", "1 while the member leads.", gauges.leading ? 1 : 0);
    this->set("auburnrail_term", "Term of the control group.", static_cast<double>(gauges.term));
    this->set("auburnrail_applied_revision", "Revision of the fleet state that was applied.",
              static_cast<double>(gauges.revision));
    this->set("auburnrail_leases", "Leases of entries that the leader counts.",
              static_cast<double>(gauges.leases));
    this->set("auburnrail_members", "Members of control that the member knows of.",
              static_cast<double>(gauges.members));
    this->set("auburnrail_groups_awaiting_evidence",
              "Groups without a primary whose failover waits for evidence at the member.",
              static_cast<double>(gauges.groupsAwaitingEvidence));
    this->set("auburnrail_disk_blocked", "1 while the disk refuses or does not complete a write.",
              gauges.diskBlocked ? 1 : 0);
    return this->metrics.toText();
}

} // namespace auburnrail
