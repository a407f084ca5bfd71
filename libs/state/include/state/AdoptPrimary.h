#ifndef AUBURNRAIL_STATE_ADOPTPRIMARY_H
#define AUBURNRAIL_STATE_ADOPTPRIMARY_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Publishes the primary that a group had before the system was started. Refused once the group has
/// had a term, because from then on only a failover may choose its primary.
struct AdoptPrimary
{
    std::string group;
    std::string endpoint;

    auto operator==(const AdoptPrimary &) const -> bool = default;
};

} // namespace auburnrail

#endif
