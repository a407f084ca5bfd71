#ifndef AUBURNRAIL_CONTROL_ENTRYREGISTRAR_H
#define AUBURNRAIL_CONTROL_ENTRYREGISTRAR_H

#include <state/CommandBody.h>
#include <state/FleetObjects.h>

#include <core/RankedMutex.h>
#include <core/Time.h>

#include <absl/base/thread_annotations.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace auburnrail {

/// Maintains the list of entries that may hold shares of rate limits, which is part of the
/// replicated state: an entry is registered before any share is granted to it, and removed after it
/// has been unresponsive for FORGET_AFTER_S. An instance runs one process at a time: the next one
/// starts after the previous one has ended. Safe from any thread.
class EntryRegistrar
{
public:
    /// A registration that has not been applied after this time is proposed again. Several commits
    /// take less.
    static constexpr auto REPEAT_AFTER_MS = std::chrono::milliseconds(1000);

    /// Longer than a restart takes, so that a restarted entry needs no new registration, and much
    /// longer than a lease.
    static constexpr auto FORGET_AFTER_S = std::chrono::seconds(60);

    /// Restarts the timeout of all registered entries.
    auto beginLeadership(const FleetObjects &state, TimePoint now) -> void;

    /// Records a heartbeat of the instance. Returns whether shares may be granted to it; otherwise
    /// `command` may be called with the command that registers it.
    auto admits(const std::string &instance, const FleetObjects &state, TimePoint now,
                const std::function<auto(CommandBody)->void> &command) -> bool;

    /// Commands that remove entries that have timed out. No shares are granted to these entries
    /// from here on.
    [[nodiscard]] auto removalsOfUnresponsive(const FleetObjects &state, TimePoint now)
        -> std::vector<CommandBody>;

private:
    RankedMutex mutex{LockRank::EntryRegistrar};
    std::map<std::string, TimePoint> lastSeenAt ABSL_GUARDED_BY(mutex);
    std::map<std::string, TimePoint>
        registrationProposedAt ABSL_GUARDED_BY(mutex);    ///< Pending registrations.
    std::set<std::string> leaving ABSL_GUARDED_BY(mutex); ///< Removal proposed, not yet applied.
};

} // namespace auburnrail

#endif
