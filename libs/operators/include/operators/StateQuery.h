#ifndef AUBURNRAIL_OPERATORS_STATEQUERY_H
#define AUBURNRAIL_OPERATORS_STATEQUERY_H

#include <state/FleetObjects.h>
#include <state/ObjectKind.h>
#include <state/Selector.h>

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Which objects `GET /v1/state` lists.
struct StateQuery
{
    std::optional<ObjectKind> kind; ///< Nothing: every kind.
    std::string name;               ///< Empty: every name.
    Selector selector;              ///< Over the objects' own labels.

    auto operator==(const StateQuery &) const -> bool = default;
};

/// Reads the query of a request target such as `/v1/state?kind=organisation&selector=tier%3Dgold`.
/// `kInvalidArgument` with every finding.
[[nodiscard]] auto parseStateQuery(const std::string &target) -> absl::StatusOr<StateQuery>;

/// Request target of a query.
[[nodiscard]] auto targetOf(const StateQuery &query) -> std::string;

/// The objects that the query asks for, by kind and name.
[[nodiscard]] auto selectObjects(const FleetObjects &objects, const StateQuery &query)
    -> std::vector<FleetObject>;

} // namespace auburnrail

#endif
