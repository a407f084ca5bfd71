#ifndef AUBURNRAIL_OBSERVE_BURNKEY_H
#define AUBURNRAIL_OBSERVE_BURNKEY_H

#include <core/ReasonCode.h>

#include <string>
#include <tuple>

namespace auburnrail {

/// What events are counted by.
struct BurnKey
{
    std::string objective;
    std::string service;
    std::string organisation;
    ReasonCode reason = ReasonCode::Completed;

    auto operator==(const BurnKey &) const -> bool = default;

    auto operator<(const BurnKey &other) const -> bool
    {
        return std::tie(this->objective, this->service, this->organisation, this->reason)
               < std::tie(other.objective, other.service, other.organisation, other.reason);
    }
};

} // namespace auburnrail

#endif
