#ifndef AUBURNRAIL_ENDPOINT_FAULTCOMMAND_H
#define AUBURNRAIL_ENDPOINT_FAULTCOMMAND_H

#include <endpoint/FaultKind.h>

#include <core/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// Sets one fault of an emulated endpoint.
struct FaultCommand
{
    std::string exchangeId; ///< Must come back in the answer.
    FaultKind kind = FaultKind::Freeze;
    bool on = true;
    std::int64_t count = 1;         ///< Answers concerned.
    Duration length{};              ///< Delay or lag.
    std::vector<std::string> peers; ///< Cut: endpoint or instance names, or IP addresses.
};

} // namespace auburnrail

#endif
