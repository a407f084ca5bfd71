#ifndef AUBURNRAIL_CONTROL_CONTROLTABLESSETTINGS_H
#define AUBURNRAIL_CONTROL_CONTROLTABLESSETTINGS_H

#include <control/DepartureHandoverLimits.h>

#include <failover/FailoverLimits.h>

#include <core/Time.h>

namespace auburnrail {

/// Settings of how a control member manages endpoints.
struct ControlTablesSettings
{
    FailoverLimits failover;
    DepartureHandoverLimits departures;

    /// Groups have a primary before the system starts; the endpoint that announces itself as
    /// primary is published, instead of running an initial failover.
    bool adoptsPrimaries = false;

    /// An endpoint that has not announced itself for this long is removed; 0: never.
    Duration endpointTimeout{};
};

} // namespace auburnrail

#endif
