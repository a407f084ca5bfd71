#ifndef AUBURNRAIL_LOAD_LOADSENDER_H
#define AUBURNRAIL_LOAD_LOADSENDER_H

#include <load/LoadAccounting.h>
#include <load/LoadHooks.h>
#include <load/LoadProfile.h>
#include <load/LoadSession.h>
#include <load/PlannedRequest.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// One sender thread: sends its part of the plan in order, one request at a time. All requests of a
/// session belong to one sender.
class LoadSender
{
public:
    /// `keys` holds the caller's key of each organisation by name; `run` marks the data of this
    /// run.
    LoadSender(const LoadProfile &loadProfile, std::map<std::string, std::string> callerKeys,
               std::uint64_t runMark, LoadHooks senderHooks, LoadAccounting &loadAccounting);

    /// Sends `plan`, whose times count from `start`.
    auto run(const std::vector<PlannedRequest> &plan, TimePoint start) -> void;

    /// Reads the values of its sessions back; tries for at most `limit` in all.
    auto readBack(const std::vector<PlannedRequest> &plan, Duration limit) -> void;

private:
    [[nodiscard]] auto makeRequest(const PlannedRequest &planned, LoadSession &session)
        -> CallerRequest;
    auto send(const PlannedRequest &planned, TimePoint start) -> void;
    auto exchange(std::size_t target, CallerRequest &request, LoadSession &session,
                  LoadResult &result) -> void;
    auto sendStatement(const PlannedRequest &planned, LoadSession &session, LoadResult &result)
        -> void;
    auto sendTransaction(const PlannedRequest &planned, LoadSession &session, LoadResult &result)
        -> void;
    [[nodiscard]] auto readValue(const PlannedRequest &planned, bool pair, TimePoint limit)
        -> std::optional<std::string>;

    const LoadProfile &profile;
    std::map<std::string, std::string> keys;
    std::uint64_t runNumber;
    LoadHooks hooks;
    LoadAccounting &accounting;
    TimePoint startedAt;
    std::map<std::size_t, LoadSession> sessions;
};

} // namespace auburnrail

#endif
