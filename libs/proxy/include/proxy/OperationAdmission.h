#ifndef AUBURNRAIL_PROXY_OPERATIONADMISSION_H
#define AUBURNRAIL_PROXY_OPERATIONADMISSION_H

#include <request/RequestRefusal.h>

#include <functional>
#include <optional>

namespace auburnrail {

/// Receives the result of an admission: std::nullopt when the operation may proceed, otherwise the
/// refusal.
using OperationAdmitted = std::function<auto(std::optional<RequestRefusal>)->void>;

} // namespace auburnrail

#endif
