#ifndef AUBURNRAIL_REQUEST_GROUPVIEW_H
#define AUBURNRAIL_REQUEST_GROUPVIEW_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// The group of a service, as of the revision that the entry has applied.
struct GroupView
{
    std::string group;
    std::uint64_t term = 0;
    std::string primary;             ///< Name of the primary endpoint.
    bool serving = false;            ///< False during a failover.
    bool isAwaitingEvidence = false; ///< See Group::isAwaitingEvidence.

    /// Whether the group is served by this primary in this term.
    [[nodiscard]] auto isServedBy(const std::string &endpoint, std::uint64_t inTerm) const -> bool
    {
        return this->serving && this->primary == endpoint && this->term == inTerm;
    }

    auto operator==(const GroupView &) const -> bool = default;
};

} // namespace auburnrail

#endif
