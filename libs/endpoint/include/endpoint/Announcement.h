#ifndef AUBURNRAIL_ENDPOINT_ANNOUNCEMENT_H
#define AUBURNRAIL_ENDPOINT_ANNOUNCEMENT_H

#include <core/Labels.h>
#include <core/Position.h>

#include <string>

namespace auburnrail {

/// What an endpoint says of itself once a second.
struct Announcement
{
    std::string endpoint; ///< Unique name.
    std::string group;
    std::string zone;
    std::string address; ///< IP:port
    Labels labels;
    std::uint64_t term = 0;
    Position position;
    bool primary = false;
    bool leaving = false;
    std::int64_t connectionLimit = 0; ///< Connections that the endpoint accepts.
    /// When the endpoint's process started, by its own time of day, in milliseconds; 0: not stated.
    std::uint64_t startedAt = 0;
    std::uint64_t sequence = 0; ///< Grows with each announcement of one process.
    bool gone = false;          ///< The endpoint has ended its work for good.
};

} // namespace auburnrail

#endif
