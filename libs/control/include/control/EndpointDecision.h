#ifndef AUBURNRAIL_CONTROL_ENDPOINTDECISION_H
#define AUBURNRAIL_CONTROL_ENDPOINTDECISION_H

#include <control/AnnouncementVerdict.h>

#include <state/CommandBody.h>

#include <vector>

namespace auburnrail {

/// What follows from an announcement.
struct EndpointDecision
{
    AnnouncementVerdict verdict = AnnouncementVerdict::Accepted;
    std::vector<CommandBody> commands; ///< To propose, in order; none unless accepted.
};

} // namespace auburnrail

#endif
