#include "DepartureLines.h"

#include <core/PositionText.h>
#include <daemon/Logging.h>

#include <absl/strings/str_cat.h>

namespace auburnrail::detail {

auto logDeparture(const DepartureRecord &record) -> void
{
    const auto mayLack = mayLackCommits(record.outcome);
    logLine(
        mayLack ? LogLevel::Warning : LogLevel::Info, "endpoint",
        mayLack ? "departure without what the endpoint may have confirmed alone"
                : "departure may be acknowledged",
        {{"endpoint", record.endpoint},
         {"group", record.group},
         {"outcome", std::string(nameOf(record.outcome))},
         {"took_ms", absl::StrCat(toMillis(record.took))},
         {"position", record.position ? positionText(*record.position) : "unknown"},
         {"most_advanced", record.mostAdvanced},
         {"most_advanced_position",
          record.mostAdvanced.empty() ? "unknown" : positionText(record.mostAdvancedPosition)}});
}

} // namespace auburnrail::detail
