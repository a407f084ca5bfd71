#ifndef AUBURNRAIL_STANDIN_STANDINPULL_H
#define AUBURNRAIL_STANDIN_STANDINPULL_H

#include <endpoint/LogRequest.h>

#include <string>

namespace auburnrail {

/// Next pull of a replica.
struct StandInPull
{
    std::string address; ///< IP:port of the source.
    std::string source;  ///< Name of the source.
    LogRequest request;
};

} // namespace auburnrail

#endif
