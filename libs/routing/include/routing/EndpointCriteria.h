#ifndef AUBURNRAIL_ROUTING_ENDPOINTCRITERIA_H
#define AUBURNRAIL_ROUTING_ENDPOINTCRITERIA_H

#include <routing/EndpointRole.h>

#include <core/Position.h>
#include <core/Time.h>

#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Selects the endpoints that are eligible for a request.
struct EndpointCriteria
{
    std::string group;
    EndpointRole role = EndpointRole::Any;
    std::optional<Position> minimum; ///< Least position seen at the endpoint.
    std::optional<Duration> maxAge;  ///< Maximum staleness of its data.
    std::vector<std::string> only;   ///< Names to choose from; all if empty.
    std::vector<std::string> except;
    /// Includes endpoints at their concurrency limit, except half-open ones. The request then
    /// queues for a connection, in order of weight.
    bool ignoreLimit = false;
};

} // namespace auburnrail

#endif
