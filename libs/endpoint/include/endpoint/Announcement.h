#ifndef AUBURNRAIL_ENDPOINT_ANNOUNCEMENT_H
#define AUBURNRAIL_ENDPOINT_ANNOUNCEMENT_H

#include <core/Labels.h>
#include <core/Position.h>

#include <string>

namespace auburnrail {

/// State that an endpoint reports about itself once a second.
struct Announcement
{
    std::string endpoint; ///< Unique name of the endpoint.
    std::string group;
    std::string zone;
    std::string address; ///< IP:port
    Labels labels;
    std::uint64_t term = 0;
    Position position;
    bool primary = false;
    bool leaving = false;
    std::int64_t connectionLimit = 0; ///< Greatest number of connections that the endpoint accepts.
    /// Start of the endpoint's process by its own wall clock, in milliseconds; 0: not reported.
    std::uint64_t startedAt = 0;
    std::uint64_t sequence = 0; ///< Increases with each announcement of one process.
    bool gone = false;          ///< The endpoint has shut down permanently.
};

} // namespace auburnrail

#endif
