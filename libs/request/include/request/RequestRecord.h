#ifndef AUBURNRAIL_REQUEST_REQUESTRECORD_H
#define AUBURNRAIL_REQUEST_REQUESTRECORD_H

#include <request/RequestStep.h>

#include <core/Position.h>
#include <core/Time.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// One decision made for a request, with its inputs. Contains no key and no statement.
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
    std::string detail; ///< Short description of the decision.
};

} // namespace auburnrail

#endif
