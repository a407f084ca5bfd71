#ifndef AUBURNRAIL_CONTROL_ENDPOINTREGISTRAR_H
#define AUBURNRAIL_CONTROL_ENDPOINTREGISTRAR_H

#include <endpoint/Announcement.h>
#include <state/CommandBody.h>
#include <state/FleetObjects.h>

#include <core/RankedMutex.h>
#include <core/Time.h>

#include <map>
#include <string>
#include <vector>

namespace auburnrail {

/// Decides which commands carry announcements into the fleet state. Several entries forward the
/// same announcement; each endpoint is proposed once in REPEAT_INTERVAL_MS. Safe from any thread.
class EndpointRegistrar
{
public:
    static constexpr auto REPEAT_INTERVAL_MS = std::chrono::milliseconds(500);

    /// Commands to propose, in order; empty when the state says it already.
    [[nodiscard]] auto commandsFor(const Announcement &announcement, const FleetObjects &state,
                                   TimePoint now) -> std::vector<CommandBody>;

private:
    RankedMutex mutex{LockRank::EndpointRegistrar};
    std::map<std::string, TimePoint> proposedAt ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
