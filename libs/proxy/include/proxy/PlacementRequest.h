#ifndef AUBURNRAIL_PROXY_PLACEMENTREQUEST_H
#define AUBURNRAIL_PROXY_PLACEMENTREQUEST_H

#include <state/ReadConsistency.h>

#include <core/Position.h>
#include <core/Time.h>

#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Criteria for the choice of a server.
struct PlacementRequest
{
    std::string group;
    bool needsPrimary = false; ///< The statement writes, or opens a transaction that may write.
    ReadConsistency consistency = ReadConsistency::Primary;
    Duration maxStaleness{};
    std::optional<Position> sessionPosition; ///< Last commit of the same session.
    std::vector<std::string> except;         ///< Endpoints that have been tried already.
};

} // namespace auburnrail

#endif
