#ifndef AUBURNRAIL_STATE_CHANGEFILTER_H
#define AUBURNRAIL_STATE_CHANGEFILTER_H

#include <state/FleetChange.h>

#include <functional>

namespace auburnrail {

/// Says whether a reader of the state needs a change. An empty filter passes everything. A reader
/// whose filter begins to pass more objects needs a snapshot.
using ChangeFilter = std::function<auto(const FleetChange &)->bool>;

} // namespace auburnrail

#endif
