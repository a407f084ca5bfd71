#ifndef AUBURNRAIL_ENTRY_REQUESTTRAIL_H
#define AUBURNRAIL_ENTRY_REQUESTTRAIL_H

#include <entry/EntryTables.h>

#include <request/CallerResponse.h>
#include <request/CallerRequest.h>
#include <request/RequestRecord.h>

#include <core/Time.h>

#include <string>
#include <vector>

namespace auburnrail {

/// Collects the decisions of one request and, at its end, accounts for it in the explain log, the
/// burn report, the metrics and the log. Thread rule: one thread.
class RequestTrail
{
public:
    /// `receivedAt` is when the request was received.
    RequestTrail(const CallerRequest &request, TimePoint receivedAt);

    auto add(RequestRecord record) -> void;

    /// Accounts for the answer.
    auto finish(const CallerResponse &answer, EntryTables &tables) -> void;

private:
    [[nodiscard]] auto explain(const CallerResponse &answer, std::int64_t nowMillis) const
        -> ExplainRecord;

    std::string requestId;
    std::string service;
    std::string organisation;
    TimePoint startedAt;
    std::vector<RequestRecord> records;
};

} // namespace auburnrail

#endif
