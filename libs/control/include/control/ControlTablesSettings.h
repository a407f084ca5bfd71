#ifndef AUBURNRAIL_CONTROL_CONTROLTABLESSETTINGS_H
#define AUBURNRAIL_CONTROL_CONTROLTABLESSETTINGS_H

#include <failover/FailoverLimits.h>

#include <core/Time.h>

namespace auburnrail {

/// How a control member treats the endpoints of its deployment.
struct ControlTablesSettings
{
    FailoverLimits failover;

    /// Groups have a primary before the system starts; the endpoint that announces itself as such
    /// is published, instead of a first failover.
    bool adoptsPrimaries = false;

    /// An endpoint that was not heard for this long is removed; 0: never.
    Duration endpointSilenceLimit{};
};

} // namespace auburnrail

#endif
