#ifndef AUBURNRAIL_STANDIN_STANDINDATABASE_H
#define AUBURNRAIL_STANDIN_STANDINDATABASE_H

#include <request/EndpointAnswer.h>
#include <request/EndpointRequest.h>

#include <core/RankedMutex.h>

#include <map>
#include <string>

namespace auburnrail {

/// The data of one emulated database server: a map of texts changed by `GET k`, `PUT k v` and
/// `APPEND k v`. Safe from any thread.
class StandInDatabase
{
public:
    /// A primary starts in term 1.
    explicit StandInDatabase(bool startsAsPrimary);

    /// Runs one operation and describes the server's state after it.
    [[nodiscard]] auto run(const EndpointRequest &request) -> EndpointAnswer;

private:
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto execute(const EndpointRequest &request, EndpointAnswer &answer) -> void;

    RankedMutex mutex{LockRank::StandInServer};
    std::map<std::string, std::string> values ABSL_GUARDED_BY(mutex);
    Position position ABSL_GUARDED_BY(mutex);
    std::uint64_t term ABSL_GUARDED_BY(mutex) = 1;
    bool primary ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
