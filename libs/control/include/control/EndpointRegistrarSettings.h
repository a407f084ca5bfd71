#ifndef AUBURNRAIL_CONTROL_ENDPOINTREGISTRARSETTINGS_H
#define AUBURNRAIL_CONTROL_ENDPOINTREGISTRARSETTINGS_H

#include <core/Time.h>

namespace auburnrail {

/// See the fields of the same name in ControlTablesSettings.
struct EndpointRegistrarSettings
{
    bool adoptsPrimaries = false;
    Duration endpointTimeout{};
};

} // namespace auburnrail

#endif
