#ifndef AUBURNRAIL_OBSERVE_BURNSPENDER_H
#define AUBURNRAIL_OBSERVE_BURNSPENDER_H

#include <core/ReasonCode.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// One cause of bad events.
struct BurnSpender
{
    std::string service;
    std::string organisation;
    ReasonCode reason = ReasonCode::Completed;
    std::uint64_t bad = 0;
    double part = 0; ///< Of all bad events of the objective in its window.
};

} // namespace auburnrail

#endif
