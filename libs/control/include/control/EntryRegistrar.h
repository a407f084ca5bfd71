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

/// Keeps the list of entries that may hold shares of limits in the durable state: an entry is
/// registered before it is lent to, and forgotten when it was silent for long. An instance has one
/// process at a time: its next one starts after the former has ended. Safe from any thread.
class EntryRegistrar
{
public:
    /// A registration that was not applied by then is ordered again; several commits take less.
    static constexpr auto REPEAT_AFTER_MS = std::chrono::milliseconds(1000);

    /// Longer than a restart takes, so that a restarted entry needs no new registration, and much
    /// longer than a lease.
    static constexpr auto FORGET_AFTER_S = std::chrono::seconds(60);

    /// Registered entries count as heard now.
    auto beginLeadership(const FleetObjects &state, TimePoint now) -> void;

    /// Notes a heartbeat. Returns whether shares may be lent to the instance; `command` is called
    /// with the registration that is missing.
    auto admits(const std::string &instance, const FleetObjects &state, TimePoint now,
                const std::function<auto(CommandBody)->void> &command) -> bool;

    /// Removals of entries that have been silent. Nothing is lent to them from here on.
    [[nodiscard]] auto removalsOfSilent(const FleetObjects &state, TimePoint now)
        -> std::vector<CommandBody>;

private:
    RankedMutex mutex{LockRank::EntryRegistrar};
    std::map<std::string, TimePoint> heardAt ABSL_GUARDED_BY(mutex);
    std::map<std::string, TimePoint> orderedAt ABSL_GUARDED_BY(mutex); ///< Registrations.
    std::set<std::string> leaving ABSL_GUARDED_BY(mutex);              ///< A removal is under way.
};

} // namespace auburnrail

#endif
