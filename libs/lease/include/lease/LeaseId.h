#ifndef AUBURNRAIL_LEASE_LEASEID_H
#define AUBURNRAIL_LEASE_LEASEID_H

#include <cstdint>
#include <string>
#include <tuple>

namespace auburnrail {

/// One run of one instance. A restarted instance has another incarnation, and its earlier run,
/// which may only be frozen, keeps its lease until that expires.
struct LeaseId
{
    std::string instance;
    std::uint64_t incarnation = 0;

    auto operator==(const LeaseId &) const -> bool = default;

    // Not operator<=>: clang-tidy 14 takes its comparison with 0 for a null pointer.
    auto operator<(const LeaseId &other) const -> bool
    {
        return std::tie(this->instance, this->incarnation)
               < std::tie(other.instance, other.incarnation);
    }
};

} // namespace auburnrail

#endif
