#ifndef AUBURNRAIL_LOAD_PLANNEDREQUEST_H
#define AUBURNRAIL_LOAD_PLANNEDREQUEST_H

#include <load/LoadKind.h>

#include <core/Time.h>

#include <cstddef>
#include <cstdint>

namespace auburnrail {

/// One request of a plan. Indexes refer to the profile.
struct PlannedRequest
{
    Duration at{};        ///< Since the start of the run.
    std::uint64_t id = 0; ///< Unique in the run.
    LoadKind kind = LoadKind::Read;
    std::size_t organisation = 0;
    std::size_t session = 0; ///< Unique over all organisations.
    std::size_t service = 0;
};

} // namespace auburnrail

#endif
