#ifndef AUBURNRAIL_ENTRY_REQUESTRUNNER_H
#define AUBURNRAIL_ENTRY_REQUESTRUNNER_H

#include <entry/EntryTables.h>

#include <request/CallerRequest.h>
#include <request/CallerResponse.h>

namespace auburnrail {

/// Runs each request on the calling thread: its RequestMachine runs on its own TaskQueue, and its
/// exchanges block the thread. Thread-safe.
class RequestRunner
{
public:
    /// `entryTables` must outlive this object.
    explicit RequestRunner(EntryTables &entryTables);

    /// Serves one request and returns its response, by the request's deadline or soon after it.
    [[nodiscard]] auto serve(CallerRequest request) -> CallerResponse;

private:
    EntryTables &tables;
};

} // namespace auburnrail

#endif
