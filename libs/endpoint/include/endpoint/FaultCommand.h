#ifndef AUBURNRAIL_ENDPOINT_FAULTCOMMAND_H
#define AUBURNRAIL_ENDPOINT_FAULTCOMMAND_H

#include <endpoint/FaultKind.h>

#include <core/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// Injects one fault into an emulated endpoint, or ends it.
struct FaultCommand
{
    std::string exchangeId; ///< The response must carry the same id.
    FaultKind kind = FaultKind::Freeze;
    bool on = true;
    std::int64_t count = 1;         ///< Number of responses that the fault affects.
    Duration length{};              ///< Duration of a delay or of the replication lag.
    std::vector<std::string> peers; ///< For Cut: endpoint or instance names, or IP addresses.
};

} // namespace auburnrail

#endif
