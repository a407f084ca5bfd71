#include <load/LoadOptions.h>

#include <load/DirectExchange.h>
#include <load/EntryExchange.h>
#include <load/LoadPlan.h>
#include <load/LoadSender.h>

#include <memory>
#include <thread>

namespace auburnrail {

namespace {

/// Time to create the senders' threads before the first planned request.
constexpr auto START_MARGIN = std::chrono::milliseconds(100);

auto makeHooks(const LoadOptions &options) -> LoadHooks
{
    return LoadHooks{.exchange = options.direct.empty() ? makeEntryExchange(options.entries)
                                                        : makeDirectExchange(options.direct),
                     .now = [] { return std::chrono::steady_clock::now(); },
                     .waitUntil = [](TimePoint due) { std::this_thread::sleep_until(due); },
                     .targets = options.direct.empty() ? options.entries.size() : 1};
}

} // namespace

auto runLoad(const LoadOptions &options) -> LoadReport
{
    const auto plan = planLoad(options.profile, options.length, makeSeededRandom(options.seed));
    // Data of an earlier run against the same databases must not be counted.
    const auto run = makeSecureRandom()() >> 32;
    const auto perOrganisation = options.sendersPerOrganisation;
    auto parts = std::vector<std::vector<PlannedRequest>>(options.profile.organisations.size()
                                                          * perOrganisation);
    for (const auto &planned : plan) {
        parts[planned.organisation * perOrganisation + planned.session % perOrganisation].push_back(
            planned);
    }
    auto accounting = LoadAccounting(options.profile);
    auto senders = std::vector<std::unique_ptr<LoadSender>>();
    for (auto i = std::size_t(0); i < parts.size(); ++i) {
        senders.push_back(std::make_unique<LoadSender>(options.profile, options.keys, run,
                                                       makeHooks(options), accounting));
    }
    const auto start = std::chrono::steady_clock::now() + START_MARGIN;
    const auto inThreads = [&](const std::function<auto(std::size_t)->void> &work) {
        auto threads = std::vector<std::jthread>();
        for (auto i = std::size_t(0); i < parts.size(); ++i)
            threads.emplace_back([&work, i] { work(i); });
    };
    inThreads([&](std::size_t i) { senders[i]->run(parts[i], start); });
    const auto length = std::chrono::steady_clock::now() - start;
    inThreads([&](std::size_t i) { senders[i]->readBack(parts[i], options.readBackLimit); });
    return accounting.report(length);
}

} // namespace auburnrail
