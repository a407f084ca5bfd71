#include <control/ControlMetrics.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

// Guards against metrics that don't show which member leads and how commands end.
TEST_CASE("control's metrics show its state and the outcomes of its work")
{
    auto metrics = ControlMetrics();
    metrics.countHeartbeat(LeaseStatus::Granted);
    metrics.countHeartbeat(LeaseStatus::Granted);
    metrics.countCommand(absl::UnavailableError("no leader"), 20ms);
    metrics.countConfiguration(absl::OkStatus(), 250ms);
    const auto text = metrics.toText(
        {.leading = true, .term = 7, .revision = 12, .leases = 9, .diskBlocked = true});
    CHECK(text.find("auburnrail_heartbeats_total{outcome=\"granted\"} 2") != std::string::npos);
    CHECK(text.find("auburnrail_commands_total{outcome=\"UNAVAILABLE\"} 1") != std::string::npos);
    CHECK(text.find("auburnrail_configurations_total{outcome=\"OK\"} 1") != std::string::npos);
    CHECK(text.find("auburnrail_configuration_seconds_count 1") != std::string::npos);
    CHECK(text.find("auburnrail_leading 1") != std::string::npos);
    CHECK(text.find("auburnrail_term 7") != std::string::npos);
    CHECK(text.find("auburnrail_disk_blocked 1") != std::string::npos);
}

} // namespace auburnrail
