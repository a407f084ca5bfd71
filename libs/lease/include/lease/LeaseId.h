#ifndef AUBURNRAIL_LEASE_LEASEID_H
#define AUBURNRAIL_LEASE_LEASEID_H

#include <cstdint>
#include <string>
#include <tuple>

namespace auburnrail {

/// Identifies one process run of an instance. A restart gets a new incarnation. The lease of the
/// earlier run stays live until it expires, because that process may be frozen rather than dead.
struct LeaseId
{
    std::string instance;
    std::uint64_t incarnation = 0;

    auto operator==(const LeaseId &) const -> bool = default;

    // Not operator<=>: clang-tidy 14 reports its comparison with 0 as use of a null pointer
    // constant.
    auto operator<(const LeaseId &other) const -> bool
    {
        return std::tie(this->instance, this->incarnation)
               < std::tie(other.instance, other.incarnation);
    }
};

} // namespace auburnrail

#endif
