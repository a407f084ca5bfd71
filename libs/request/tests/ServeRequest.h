#ifndef AUBURNRAIL_REQUEST_TESTS_SERVEREQUEST_H
#define AUBURNRAIL_REQUEST_TESTS_SERVEREQUEST_H

#include <FakeEntryInstance.h>

#include <core/VirtualScheduler.h>

#include <catch2/catch.hpp>

namespace auburnrail {

/// Runs one request until its response, with probes every 100 ms.
inline auto serve(FakeEntryInstance &entry, VirtualScheduler &scheduler,
                  const CallerRequest &request) -> CallerResponse
{
    auto responses = std::vector<CallerResponse>();
    RequestMachine::serve(request, entry.hooks([&](CallerResponse response) {
        responses.push_back(std::move(response));
    }),
                          entry.tables());
    for (auto i = 0; i < 30 && responses.empty(); ++i) {
        scheduler.runFor(100ms);
        if (entry.fleet.currentView().serving)
            entry.refresh();
    }
    REQUIRE(responses.size() == 1);
    return responses.front();
}

} // namespace auburnrail

#endif
