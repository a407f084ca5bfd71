#include <proxy/ConnectionRequest.h>

namespace auburnrail {

auto connectionRequestFor(const Placement &placement, const StatementRequest &request)
    -> ConnectionRequest
{
    return ConnectionRequest{.endpoint = placement.endpoint,
                             .organisation = request.organisation,
                             .priority = request.policy.priority,
                             .objectiveEnd = request.objectiveEnd(),
                             .deadline = request.latestStart(),
                             .opensTransaction = request.opens.has_value()};
}

} // namespace auburnrail
