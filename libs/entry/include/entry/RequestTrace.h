#ifndef AUBURNRAIL_ENTRY_REQUESTTRACE_H
#define AUBURNRAIL_ENTRY_REQUESTTRACE_H

#include <entry/EntryTables.h>

#include <request/CallerRequest.h>
#include <request/CallerResponse.h>
#include <request/RequestRecord.h>

#include <core/Time.h>

#include <string>
#include <vector>

namespace auburnrail {

/// Collects the decisions made for one request and, at its end, records it in the explain log, the
/// burn report, the metrics and the log. Not thread-safe.
class RequestTrace
{
public:
    RequestTrace(const CallerRequest &request, TimePoint receivedAt);

    auto add(RequestRecord record) -> void;

    /// Records the request with its response.
    auto finish(const CallerResponse &response, EntryTables &tables) -> void;

private:
    [[nodiscard]] auto explain(const CallerResponse &response, std::int64_t nowMillis) const
        -> ExplainRecord;

    std::string requestId;
    std::string service;
    std::string organisation;
    TimePoint startedAt;
    std::vector<RequestRecord> records;
};

} // namespace auburnrail

#endif
