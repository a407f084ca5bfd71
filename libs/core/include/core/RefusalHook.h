#ifndef AUBURNRAIL_CORE_REFUSALHOOK_H
#define AUBURNRAIL_CORE_REFUSALHOOK_H

#include <absl/status/status.h>

#include <functional>

namespace auburnrail {

/// Told that the system has no room for something, such as a thread or a connection; the status
/// names the reason.
using RefusalHook = std::function<auto(const absl::Status &)->void>;

} // namespace auburnrail

#endif
