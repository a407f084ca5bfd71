#ifndef AUBURNRAIL_CONTROL_CONTROLFRONTENDHOOKS_H
#define AUBURNRAIL_CONTROL_CONTROLFRONTENDHOOKS_H

#include <endpoint/Announcement.h>
#include <state/ReplaceConfiguration.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>

namespace auburnrail {

/// Operations of a control member that an additional front end on its operators' port may call.
/// Calls may block for some seconds and are safe from any thread.
struct ControlFrontEndHooks
{
    /// Nothing when this member leads; else the operators' address of the leader, empty when none
    /// is known.
    std::function<auto()->std::optional<std::string>> leaderAddress;

    /// Puts the configuration in force. OK once it, or a later one, is in force everywhere;
    /// `kInvalidArgument` with every finding when it is invalid; after any other error it may or
    /// may not come into force.
    std::function<auto(ReplaceConfiguration configuration)->absl::Status> replaceConfiguration;

    /// Text of the newest configuration. `kUnavailable` when this member may not have the newest
    /// one, or none was put in force.
    std::function<auto()->absl::StatusOr<std::string>> readConfiguration;

    /// Processes an endpoint's announcement. When it announces a departure, OK means that the
    /// departure is committed.
    std::function<auto(const Announcement &announcement)->absl::Status> announce;

    /// Orders that the zone's endpoints get no new work, or takes the order back. OK once that is
    /// in force everywhere; `kInvalidArgument` for an unknown zone; after any other error it may or
    /// may not come into force.
    std::function<auto(const std::string &zone, bool evacuated)->absl::Status> setEvacuated;

    std::string ownAddress; ///< Operators' address of this member.
};

} // namespace auburnrail

#endif
