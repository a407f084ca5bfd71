#ifndef AUBURNRAIL_OPERATORS_CONTROLSTATUS_H
#define AUBURNRAIL_OPERATORS_CONTROLSTATUS_H

#include <core/Revision.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace auburnrail {

/// Status of a control member for operators.
struct ControlStatus
{
    std::string instance;
    bool leading = false;
    std::string leader; ///< IP:port of the leader's operators' port; empty when not known.
    std::uint64_t term = 0;
    Revision revision = 0;
    std::size_t leases = 0; ///< Live leases; 0 when not leading.
};

} // namespace auburnrail

#endif
