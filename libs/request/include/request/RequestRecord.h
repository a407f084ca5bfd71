#ifndef AUBURNRAIL_REQUEST_REQUESTRECORD_H
#define AUBURNRAIL_REQUEST_REQUESTRECORD_H

#include <request/RequestStep.h>

#include <core/Position.h>
#include <core/Time.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// One decision of a request with the facts behind it. Holds no key and no statement.
struct RequestRecord
{
    TimePoint time;
    std::string requestId;
    std::string organisation;
    RequestStep step = RequestStep::Authorise;
    std::string group;
    std::string endpoint;
    std::uint64_t term = 0;
    Position position;
    bool lease = false; ///< The entry held its lease at the last check.
    std::string detail; ///< What was decided, in a few words.
};

} // namespace auburnrail

#endif
