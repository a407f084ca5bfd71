#ifndef AUBURNRAIL_CONTROL_ENDPOINTREGISTRAR_H
#define AUBURNRAIL_CONTROL_ENDPOINTREGISTRAR_H

#include <control/EndpointDecision.h>
#include <control/EndpointRegistrarSettings.h>
#include <control/detail/LastAnnouncement.h>

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

/// Decides which commands bring the fleet state in line with announcements. Announcements may be
/// repeated, delayed or reordered, and other processes reuse names and addresses, so an
/// announcement that is older than the known state, or of another process, changes nothing and is
/// no sign of life. The same command is proposed at most once per REPEAT_INTERVAL_MS. Safe from any
/// thread.
class EndpointRegistrar
{
public:
    static constexpr auto REPEAT_INTERVAL_MS = std::chrono::milliseconds(500);
    /// A departure that may be that of an earlier process takes effect when the endpoint doesn't
    /// announce itself for this long. Three announcements come in this time.
    static constexpr auto DEPARTURE_CONFIRMATION_S = std::chrono::seconds(4);
    /// How long the last announcement of an endpoint is remembered, to recognise delayed ones after
    /// it has gone.
    static constexpr auto RETENTION_S = std::chrono::seconds(120);

    explicit EndpointRegistrar(EndpointRegistrarSettings registrarSettings = {});

    /// An accepted announcement has no commands when the state matches it already.
    [[nodiscard]] auto decide(const Announcement &announcement, const FleetObjects &state,
                              TimePoint now) -> EndpointDecision;

    /// Restarts the timeout of all endpoints, since their earlier announcements went to the
    /// previous leader.
    auto beginLeadership(TimePoint now) -> void;

    /// Commands that remove endpoints that have timed out, except for primaries, which only a
    /// failover replaces, those that confirm departures, and those that remove a former primary
    /// whose address a later endpoint of its group has. The first two rest on silence and wait
    /// while a group with synchronous replicas is being fenced; the last rests on the later
    /// process.
    [[nodiscard]] auto removalsOfUnresponsive(const FleetObjects &state, TimePoint now)
        -> std::vector<CommandBody>;

private:
    using CommandKey = std::pair<std::string, std::size_t>; ///< Endpoint and kind of command.

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto judge(const Announcement &announcement, const FleetObjects &state) const
        -> AnnouncementVerdict;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto isOutdated(const Announcement &announcement) const -> bool;
    /// Commands that follow from an accepted announcement.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto accept(const Announcement &announcement, const FleetObjects &state, TimePoint now)
        -> std::vector<CommandBody>;
    /// Handles a final departure. It doesn't identify the process that departs.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto departed(const Announcement &announcement, const FleetObjects &state, TimePoint now)
        -> std::vector<CommandBody>;
    /// An address that is taken over frees its earlier endpoint, except while that is primary.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto removalsOfSucceeded(const FleetObjects &state, TimePoint now) -> std::vector<CommandBody>;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto withoutRepeated(std::vector<CommandBody> commands, const std::string &endpoint,
                         TimePoint now) -> std::vector<CommandBody>;

    const EndpointRegistrarSettings settings;
    RankedMutex mutex{LockRank::EndpointRegistrar};
    std::map<CommandKey, TimePoint> proposedAt ABSL_GUARDED_BY(mutex);
    std::map<std::string, detail::LastAnnouncement> lastAnnouncements ABSL_GUARDED_BY(mutex);
    TimePoint leaderSince ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
