#ifndef AUBURNRAIL_LEASE_LEASEID_H
#define AUBURNRAIL_LEASE_LEASEID_H

#include <compare>
#include <cstdint>
#include <string>

namespace auburnrail {

/// One run of one instance. A restarted instance has another incarnation, and its earlier run,
/// which may only be frozen, keeps its lease until that expires.
struct LeaseId
{
    std::string instance;
    std::uint64_t incarnation = 0;

    auto operator<=>(const LeaseId &) const = default;
};

} // namespace auburnrail

#endif
