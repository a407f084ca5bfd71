#ifndef AUBURNRAIL_ENTRY_STATUSCALLS_H
#define AUBURNRAIL_ENTRY_STATUSCALLS_H

#include <core/RankedMutex.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace auburnrail {

/// Entries that wait for the status of a server, so that one request to the server serves all of
/// them. Thread-safe.
class StatusCalls
{
public:
    using Done = std::function<auto()->void>;

    /// Adds a call. True for the first one of the server: its caller must ask the server and then
    /// call take().
    [[nodiscard]] auto add(const std::string &endpoint, Done done) -> bool;

    /// Removes the calls that wait for the server.
    [[nodiscard]] auto take(const std::string &endpoint) -> std::vector<Done>;

private:
    RankedMutex mutex{LockRank::StatusCalls};
    std::map<std::string, std::vector<Done>> waiting ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
