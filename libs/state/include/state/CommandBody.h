#ifndef AUBURNRAIL_STATE_COMMANDBODY_H
#define AUBURNRAIL_STATE_COMMANDBODY_H

#include <state/AdoptPrimary.h>
#include <state/DeleteObject.h>
#include <state/GrantTerm.h>
#include <state/LeaveEndpoint.h>
#include <state/PublishPrimary.h>
#include <state/RecordAcknowledged.h>
#include <state/RecordEvidenceWait.h>
#include <state/RemoveLabel.h>
#include <state/ReplaceConfiguration.h>
#include <state/SetLabel.h>
#include <state/SetObject.h>
#include <state/WithdrawKey.h>

#include <string>
#include <utility>
#include <variant>

namespace auburnrail {

/// The operation of a command.
using CommandBody = std::variant<SetObject, DeleteObject, SetLabel, RemoveLabel, WithdrawKey,
                                 GrantTerm, PublishPrimary, LeaveEndpoint, AdoptPrimary,
                                 ReplaceConfiguration, RecordAcknowledged, RecordEvidenceWait>;

/// Kind and name of the object that a command changes.
[[nodiscard]] auto commandTarget(const CommandBody &body) -> std::pair<ObjectKind, std::string>;

} // namespace auburnrail

#endif
