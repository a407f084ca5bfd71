#ifndef AUBURNRAIL_ENTRY_REQUESTRUNNER_H
#define AUBURNRAIL_ENTRY_REQUESTRUNNER_H

#include <entry/EntryTables.h>

#include <request/CallerResponse.h>
#include <request/CallerRequest.h>

namespace auburnrail {

/// Runs requests on the threads that bring them: each request's RequestMachine runs on a TaskQueue
/// of its own, and its exchanges block that thread. Safe from any thread.
class RequestRunner
{
public:
    /// `entryTables` must outlive this object.
    explicit RequestRunner(EntryTables &entryTables);

    /// Serves one request and returns its answer, at the latest soon after the request's deadline.
    [[nodiscard]] auto serve(CallerRequest request) -> CallerResponse;

private:
    EntryTables &tables;
};

} // namespace auburnrail

#endif
