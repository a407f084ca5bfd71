#ifndef AUBURNRAIL_ENTRY_TESTS_ADMISSIONFLEET_H
#define AUBURNRAIL_ENTRY_TESTS_ADMISSIONFLEET_H

#include <entry/RateAdmission.h>
#include <quota/ShareHolder.h>
#include <quota/ShareLedger.h>
#include <quota/TokenRequester.h>

#include <core/TokenBucket.h>
#include <core/VirtualScheduler.h>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnrail {

/// What became of the requests of an AdmissionFleet.
struct AdmissionOutcome
{
    std::size_t owed = 0;   ///< Requests that one bucket for the whole fleet would have admitted.
    std::size_t inTime = 0; ///< Of these, admitted within their latency objective.
    std::size_t late = 0;   ///< Of these, admitted later.
    std::size_t refused = 0;
    std::size_t messages = 0; ///< From entries to the leader, after SETTLING_TIME of the load.
    std::uint64_t claims = 0; ///< Visited by allocations in that time.
    double waitSeconds = 0;   ///< Of all refused requests, until the refusal.
    std::map<std::string, std::vector<TimePoint>> admittedAt; ///< By organisation.
    std::vector<std::size_t> admittedByEntry;
};

/// Entries and one ledger on virtual time, with message delays and long polling. Replays the
/// requests of organisations that arrive at random entries.
class AdmissionFleet
{
public:
    static constexpr auto ONE_WAY_DELAY = Duration(std::chrono::milliseconds(10));
    static constexpr auto OBJECTIVE = Duration(std::chrono::milliseconds(500));
    static constexpr auto TIME_LIMIT = Duration(std::chrono::milliseconds(1000));

    /// From the first requests until the ledger knows which entries use which limits.
    static constexpr auto SETTLING_TIME = Duration(std::chrono::seconds(2));

    AdmissionFleet(std::size_t entryCount, std::map<std::string, ShareLimits> organisationLimits);

    /// Sets the delay of messages between one entry and the leader, instead of ONE_WAY_DELAY.
    auto setDelay(std::size_t index, Duration oneWay) -> void;

    /// Sends `weight` times as many requests to the entry as to one of weight 1, the default.
    auto setWeight(std::size_t index, double weight) -> void;

    /// Sends requests of each organisation at `load` times its rate for `length`.
    auto run(double load, Duration length, std::uint64_t seed) -> AdmissionOutcome;

    ShareLedger ledger;

private:
    struct Entry
    {
        std::unique_ptr<ShareHolder> holder;
        std::unique_ptr<TokenRequester> tokens;
        std::unique_ptr<RateAdmission> admission;
        TimePoint sentAt;
        std::uint64_t exchange = 0;
        bool held = false; ///< The leader holds the response.
        Duration delay = ONE_WAY_DELAY;
        double weight = 1.0;
    };

    auto sendReport(std::size_t index) -> void;
    auto respond(std::size_t index) -> void;
    auto requestTokens(std::size_t index) -> void;
    auto advanceLater() -> void;
    auto request(const std::string &organisation, std::size_t index) -> void;
    auto ended(const std::string &organisation, std::size_t index, TimePoint at, bool owed,
               bool isAdmitted) -> void;

    VirtualScheduler scheduler;
    Executor executor;
    std::map<std::string, ShareLimits> limits;
    std::map<std::string, TokenBucket> ideal; ///< One bucket for the whole fleet.
    std::vector<Entry> entries;
    AdmissionOutcome outcome;
};

} // namespace auburnrail

#endif
