#include <control/ControlLoadLog.h>

#include <control/ControlTables.h>

#include <core/ProcessorTime.h>
#include <daemon/Logging.h>

#include <absl/strings/str_cat.h>

namespace auburnrail {

ControlLoadLog::ControlLoadLog(ControlTables &controlTables)
    : tables(controlTables)
{
}

auto ControlLoadLog::tick(TimePoint now) -> void
{
    if (now < this->nextLine)
        return;
    this->nextLine = now + INTERVAL_S;
    const auto activity = this->tables.ledger.activity();
    const auto heartbeats = this->tables.metrics.heartbeatCount();
    const auto released = this->tables.heldResponses.earlyReleases();
    const auto processor = processorTime();
    if (this->tables.isLeading(now)) {
        logLine(
            LogLevel::Info, "load", "work of the leader in the last interval",
            {{"heartbeats", absl::StrCat(heartbeats - this->previousHeartbeats)},
             {"leases", absl::StrCat(this->tables.leases.size())},
             {"share_allocations", absl::StrCat(activity.allocations - this->previous.allocations)},
             {"share_claims", absl::StrCat(activity.claims - this->previous.claims)},
             {"early_responses",
              absl::StrCat(activity.notifications - this->previous.notifications)},
             {"released_early", absl::StrCat(released - this->previousReleased)},
             {"processor_ms", absl::StrCat(toMillis(processor - this->previousProcessorTime))}});
    }
    this->previous = activity;
    this->previousHeartbeats = heartbeats;
    this->previousReleased = released;
    this->previousProcessorTime = processor;
}

} // namespace auburnrail
