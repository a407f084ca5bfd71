#include <control/ControlTables.h>

#include <daemon/Logging.h>

#include <absl/strings/str_cat.h>

namespace auburnrail {

auto ControlTables::logZoneChanges(const FleetObjects &objects) -> void
{
    objects.table<Zone>().forEach([&](const Zone &zone) {
        this->metrics.setZoneEvacuated(zone.name, zone.evacuated);
        if (zone.evacuated == this->previousObjects.isEvacuated(zone.name))
            return;
        logLine(LogLevel::Info, "zone", zone.evacuated ? "zone evacuated" : "zone returned",
                {{"zone", zone.name}, {"revision", absl::StrCat(zone.changedAt)}});
    });
}

auto ControlTables::knowsZone(const std::string &zone, TimePoint now) -> absl::Status
{
    const auto state = this->store.objects();
    auto isKnown = state.find<Zone>(zone) != nullptr;
    state.table<Endpoint>().forEach(
        [&](const Endpoint &endpoint) { isKnown = isKnown || endpoint.zone == zone; });
    const auto entriesSeen = this->entries.list(now);
    for (const auto &entry : entriesSeen)
        isKnown = isKnown || entry.zone == zone;
    if (isKnown)
        return absl::OkStatus();
    // A member that has just begun to lead may not have heard of the zone's entries.
    if (entriesSeen.empty())
        return absl::UnavailableError("no entry has reported to this member yet");
    return absl::InvalidArgumentError("no endpoint and no entry is in zone " + zone);
}

} // namespace auburnrail
