#ifndef AUBURNRAIL_CONTROL_ENDPOINTREGISTRAR_H
#define AUBURNRAIL_CONTROL_ENDPOINTREGISTRAR_H

#include <control/EndpointRegistrarSettings.h>
#include <control/detail/HeardEndpoint.h>

#include <endpoint/Announcement.h>
#include <state/CommandBody.h>
#include <state/FleetObjects.h>

#include <core/RankedMutex.h>
#include <core/Time.h>

#include <absl/base/thread_annotations.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Decides which commands carry announcements into the fleet state. Announcements may be repeated,
/// late or out of order, and names and addresses are used again by other processes: one that is
/// older than what is known changes nothing. The same command is proposed once in
/// REPEAT_INTERVAL_MS. Safe from any thread.
class EndpointRegistrar
{
public:
    static constexpr auto REPEAT_INTERVAL_MS = std::chrono::milliseconds(500);
    /// How long the last announcement of an endpoint that is gone is kept to recognise late ones.
    static constexpr auto MEMORY_S = std::chrono::seconds(120);

    explicit EndpointRegistrar(EndpointRegistrarSettings registrarSettings = {});

    /// Commands to propose, in order; empty when the state says it already.
    [[nodiscard]] auto commandsFor(const Announcement &announcement, const FleetObjects &state,
                                   TimePoint now) -> std::vector<CommandBody>;

    /// Silence counts from here on; an earlier leader heard the endpoints before.
    auto beginLeadership(TimePoint now) -> void;

    /// Commands that remove the endpoints which were silent for too long, except for primaries,
    /// which only a failover replaces.
    [[nodiscard]] auto removalsOfSilent(const FleetObjects &state, TimePoint now)
        -> std::vector<CommandBody>;

private:
    using CommandKey = std::pair<std::string, std::size_t>; ///< Endpoint and kind of command.

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto isLate(const Announcement &announcement, TimePoint now) -> bool;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto withoutRepeated(std::vector<CommandBody> commands, const std::string &endpoint,
                         TimePoint now) -> std::vector<CommandBody>;

    const EndpointRegistrarSettings settings;
    RankedMutex mutex{LockRank::EndpointRegistrar};
    std::map<CommandKey, TimePoint> proposedAt ABSL_GUARDED_BY(mutex);
    std::map<std::string, detail::HeardEndpoint> heard ABSL_GUARDED_BY(mutex);
    TimePoint leaderSince ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
