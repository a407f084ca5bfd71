#ifndef AUBURNRAIL_CONTROL_DEPARTURELINES_H
#define AUBURNRAIL_CONTROL_DEPARTURELINES_H

#include <control/DepartureRecord.h>

namespace auburnrail::detail {

/// Logs that a departure may be acknowledged, with a warning when the endpoint may take something
/// with it that no replica that stays has.
auto logDeparture(const DepartureRecord &record) -> void;

} // namespace auburnrail::detail

#endif
