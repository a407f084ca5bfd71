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

/// What another front end on a control member's operators' port may ask of the member. Calls may
/// block for some seconds and come from any thread.
struct ControlFrontEndHooks
{
    /// Nothing when this member leads; else the operators' address of the leader, empty when none
    /// is known.
    std::function<auto()->std::optional<std::string>> leaderAddress;

    /// Puts the configuration in force. OK once it is in force everywhere, or a later one is;
    /// `kInvalidArgument` with every finding; any other error: it may or may not come in force.
    std::function<auto(ReplaceConfiguration configuration)->absl::Status> replaceConfiguration;

    /// Text of the newest configuration. `kUnavailable` when this member can't be sure of it.
    std::function<auto()->absl::StatusOr<std::string>> readConfiguration;

    /// Takes an endpoint's announcement. OK once a departure in it is committed.
    std::function<auto(const Announcement &announcement)->absl::Status> announce;

    std::string ownAddress; ///< Operators' address of this member.
};

} // namespace auburnrail

#endif
