#ifndef AUBURNRAIL_ENTRY_RESPONSEHOLD_H
#define AUBURNRAIL_ENTRY_RESPONSEHOLD_H

#include <core/Time.h>

namespace auburnrail {

/// Longest time the leader may hold the response to a heartbeat while there is nothing to tell: the
/// work of an idle fleet's leader grows with its inverse. Also the longest wait until a new demand
/// of an organisation is reported; its requests get single tokens meanwhile.
constexpr auto RESPONSE_HOLD = Duration(std::chrono::milliseconds(750));

} // namespace auburnrail

#endif
