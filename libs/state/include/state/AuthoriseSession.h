#ifndef AUBURNRAIL_STATE_AUTHORISESESSION_H
#define AUBURNRAIL_STATE_AUTHORISESESSION_H

#include <state/FleetObjects.h>
#include <state/SessionPolicy.h>

#include <core/ReasonCode.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace auburnrail {

/// The organisation on whose behalf an operation of a session may run, and the policy that applies
/// to it.
struct OperationAuthorisation
{
    SessionPolicy policy;
    std::string group;
    std::string organisation; ///< Empty: the caller has no key, on an open route.
    double weight = 1;
    bool needsKey = false; ///< The operation is permitted by the caller's key only.
};

/// Id under which a key that a configuration document defines is stored. Such keys have no id of
/// their own, so the id is derived from the key's hash.
[[nodiscard]] auto documentKeyId(std::string_view keyText, const std::string &clusterSecret)
    -> std::string;

/// Id of the key when it is valid; nothing when it is unknown or withdrawn.
[[nodiscard]] auto findKeyId(const FleetObjects &objects, std::string_view keyText,
                             const std::string &clusterSecret) -> std::optional<std::string>;

/// Decides whether a session on `database` may run an operation now. Called for each operation,
/// since keys and routes change while sessions are open. `keyId` is the result of findKeyId() from
/// when the session was opened. Refusals: UnknownService, KeyUnknown, KeyWithdrawn, RouteDenied.
[[nodiscard]] auto authoriseOperation(const FleetObjects &objects, std::string_view database,
                                      const std::optional<std::string> &keyId)
    -> std::variant<OperationAuthorisation, ReasonCode>;

/// Whether an operation that was authorised earlier may go on with the same key. A change of its
/// route applies from the next operation on, but a key that was withdrawn or given to another
/// organisation permits nothing more.
[[nodiscard]] auto mayContinue(const FleetObjects &objects,
                               const OperationAuthorisation &authorisation,
                               const std::optional<std::string> &keyId) -> bool;

} // namespace auburnrail

#endif
