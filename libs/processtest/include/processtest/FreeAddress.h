#ifndef AUBURNRAIL_PROCESSTEST_FREEADDRESS_H
#define AUBURNRAIL_PROCESSTEST_FREEADDRESS_H

#include <string>

namespace auburnrail {

/// A loopback address of this process's own with a port that it has not returned before, so that no
/// other process takes it until it is bound. Throws std::runtime_error after some 22,000 calls.
[[nodiscard]] auto freeAddress() -> std::string;

} // namespace auburnrail

#endif
