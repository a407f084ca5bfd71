#ifndef AUBURNRAIL_PROCESSTEST_FREEADDRESS_H
#define AUBURNRAIL_PROCESSTEST_FREEADDRESS_H

#include <string>

namespace auburnrail {

/// 127.0.0.1 with a port that was free a moment ago and that this process has not returned before.
[[nodiscard]] auto freeAddress() -> std::string;

} // namespace auburnrail

#endif
