#ifndef AUBURNRAIL_PROXY_OPERATIONADMISSION_H
#define AUBURNRAIL_PROXY_OPERATIONADMISSION_H

#include <request/RequestRefusal.h>

#include <functional>
#include <optional>

namespace auburnrail {

/// Gets nothing when an operation may go on, or why not.
using OperationAdmitted = std::function<auto(std::optional<RequestRefusal>)->void>;

} // namespace auburnrail

#endif
