#ifndef AUBURNRAIL_OBSERVE_BURNKEY_H
#define AUBURNRAIL_OBSERVE_BURNKEY_H

#include <core/ReasonCode.h>

#include <compare>
#include <string>

namespace auburnrail {

/// What events are counted by.
struct BurnKey
{
    std::string objective;
    std::string service;
    std::string organisation;
    ReasonCode reason = ReasonCode::Completed;

    auto operator<=>(const BurnKey &) const = default;
};

} // namespace auburnrail

#endif
