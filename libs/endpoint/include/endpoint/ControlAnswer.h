#ifndef AUBURNRAIL_ENDPOINT_CONTROLANSWER_H
#define AUBURNRAIL_ENDPOINT_CONTROLANSWER_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Answer to a promote, follow or fault message.
struct ControlAnswer
{
    std::string exchangeId;
    bool accepted = false;
    std::uint64_t highestTerm = 0; ///< Highest term that the endpoint knows.
};

} // namespace auburnrail

#endif
