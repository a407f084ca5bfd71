#ifndef AUBURNRAIL_ROUTING_ENDPOINTCRITERIA_H
#define AUBURNRAIL_ROUTING_ENDPOINTCRITERIA_H

#include <routing/EndpointRole.h>

#include <core/Position.h>
#include <core/Time.h>

#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Which endpoints are eligible for a piece of work.
struct EndpointCriteria
{
    std::string group;
    EndpointRole role = EndpointRole::Any;
    std::optional<Position> minimum; ///< Least position that has been seen at the endpoint.
    std::optional<Duration> maxAge;  ///< Greatest age of its data.
    std::vector<std::string> only;   ///< Names to choose from; empty: all.
    std::vector<std::string> except;
    /// Also endpoints at their concurrency limit, though not half-open ones.
    bool ignoreLimit = false; ///< The work queues for a connection, in order of weight, instead.
};

} // namespace auburnrail

#endif
