#ifndef AUBURNRAIL_STATE_CHANGEFILTER_H
#define AUBURNRAIL_STATE_CHANGEFILTER_H

#include <state/FleetChange.h>

#include <functional>

namespace auburnrail {

/// Tells whether a reader of the state needs a change. An empty filter passes all changes. A reader
/// whose filter is widened to more objects needs a new snapshot.
using ChangeFilter = std::function<auto(const FleetChange &)->bool>;

} // namespace auburnrail

#endif
