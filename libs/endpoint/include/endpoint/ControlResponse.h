#ifndef AUBURNRAIL_ENDPOINT_CONTROLRESPONSE_H
#define AUBURNRAIL_ENDPOINT_CONTROLRESPONSE_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Response to a promote, follow or fault message.
struct ControlResponse
{
    std::string exchangeId;
    bool accepted = false;
    std::uint64_t highestTerm = 0; ///< Highest term that the endpoint has seen.
};

} // namespace auburnrail

#endif
