#ifndef AUBURNRAIL_STANDIN_STANDINDATABASESETTINGS_H
#define AUBURNRAIL_STANDIN_STANDINDATABASESETTINGS_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Start values of one emulated server.
struct StandInDatabaseSettings
{
    std::string endpoint;
    bool primary = false;       ///< Starts as the primary of term 1.
    std::string primaryAddress; ///< Starts as its replica in term 1. Empty: fenced in term 0.
    std::int64_t connectionLimit = 20;
};

} // namespace auburnrail

#endif
