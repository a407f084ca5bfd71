#ifndef AUBURNRAIL_PROXY_PRIMARYSAMPLE_H
#define AUBURNRAIL_PROXY_PRIMARYSAMPLE_H

#include <core/Position.h>
#include <core/Time.h>

namespace auburnrail {

/// Position that a primary reported in its response to a request sent at `sentAt`.
struct PrimarySample
{
    TimePoint sentAt;
    Position position;
};

} // namespace auburnrail

#endif
