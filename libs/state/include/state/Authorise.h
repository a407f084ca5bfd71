#ifndef AUBURNRAIL_STATE_AUTHORISE_H
#define AUBURNRAIL_STATE_AUTHORISE_H

#include <state/Authorisation.h>
#include <state/FleetObjects.h>

#include <core/ReasonCode.h>

#include <string>
#include <string_view>
#include <variant>

namespace auburnrail {

/// Decides whether a request to `service` may run. `keyText` is empty when the request has no key;
/// a key that is sent must be valid, on open routes too. Refusals: UnknownService, KeyMissing,
/// KeyUnknown, KeyWithdrawn, RouteDenied.
[[nodiscard]] auto authorise(const FleetObjects &objects, std::string_view service,
                             std::string_view keyText, const std::string &clusterSecret)
    -> std::variant<Authorisation, ReasonCode>;

} // namespace auburnrail

#endif
