#ifndef AUBURNRAIL_STANDIN_STANDINTRANSACTION_H
#define AUBURNRAIL_STANDIN_STANDINTRANSACTION_H

#include <map>
#include <string>
#include <vector>

namespace auburnrail {

/// Open transaction of one connection; its writes are staged until commit.
struct StandInTransaction
{
    std::vector<std::string> statements;       ///< Writes in order.
    std::map<std::string, std::string> values; ///< Values of the written keys.
    std::string lastResult;
    bool aborted = false; ///< The server was fenced since it began; it can only be rolled back.
};

} // namespace auburnrail

#endif
