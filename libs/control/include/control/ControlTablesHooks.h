#ifndef AUBURNRAIL_CONTROL_CONTROLTABLESHOOKS_H
#define AUBURNRAIL_CONTROL_CONTROLTABLESHOOKS_H

#include <control/EndpointRoleHooks.h>

#include <core/Revision.h>
#include <core/Time.h>
#include <core/WallClock.h>

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

namespace auburnrail {

/// What the tables of a control member need from its consensus log.
struct ControlTablesHooks
{
    /// Appends a payload; an error when this member does not lead.
    std::function<auto(std::string payload)->absl::StatusOr<Revision>> propose;

    /// Whether no other member can lead at `now`.
    std::function<auto(TimePoint now)->bool> isLeaderWithQuorum;

    /// Name of the leading member; empty when unknown.
    std::function<auto()->std::string> leader;

    /// Names of the voting members. May be empty: entries aren't told.
    std::function<auto()->std::vector<std::string>> members;

    WallClock wallClock;
    EndpointRoleHooks endpointHooks; ///< Not set: the project's own endpoint protocol.
};

} // namespace auburnrail

#endif
