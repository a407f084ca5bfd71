#ifndef AUBURNRAIL_LOAD_LOADOPTIONS_H
#define AUBURNRAIL_LOAD_LOADOPTIONS_H

#include <load/LoadProfile.h>
#include <load/LoadReport.h>

#include <core/Time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburnrail {

/// Options of one run.
struct LoadOptions
{
    LoadProfile profile;
    std::vector<std::string> entries; ///< IP:port of each.
    std::string direct;               ///< IP:port of an endpoint that is driven without entries.
    std::uint64_t seed = 1;
    Duration length{};
    std::map<std::string, std::string> keys; ///< Caller's key by organisation.
    std::size_t sendersPerOrganisation = 6;  ///< Threads; an organisation can't delay another's.
    Duration readBackLimit = std::chrono::seconds(15);
};

/// Sends the load and reads all values back. Blocks for the length of the run and the read-back.
[[nodiscard]] auto runLoad(const LoadOptions &options) -> LoadReport;

} // namespace auburnrail

#endif
