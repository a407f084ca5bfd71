#ifndef AUBURNRAIL_REQUEST_TESTS_SERVEREQUEST_H
#define AUBURNRAIL_REQUEST_TESTS_SERVEREQUEST_H

#include <FakeEntryInstance.h>

#include <core/VirtualScheduler.h>

#include <catch2/catch.hpp>

namespace auburnrail {

/// Drives one request to its end, with probes every 100 ms.
inline auto serve(FakeEntryInstance &entry, VirtualScheduler &scheduler,
                  const CallerRequest &request) -> CallerAnswer
{
    auto answers = std::vector<CallerAnswer>();
    RequestMachine::serve(
        request, entry.hooks([&](CallerAnswer answer) { answers.push_back(std::move(answer)); }),
        entry.tables());
    for (auto i = 0; i < 30 && answers.empty(); ++i) {
        scheduler.runFor(100ms);
        if (entry.fleet.currentView().serving)
            entry.refresh();
    }
    REQUIRE(answers.size() == 1);
    return answers.front();
}

} // namespace auburnrail

#endif
