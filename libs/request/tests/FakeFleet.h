#ifndef AUBURNRAIL_REQUEST_TESTS_FAKEFLEET_H
#define AUBURNRAIL_REQUEST_TESTS_FAKEFLEET_H

#include <FakeEndpoint.h>
#include <Fault.h>

#include <request/ConnectionPool.h>
#include <request/ReplicationTracker.h>
#include <request/RequestMachine.h>

#include <memory>
#include <mutex>

namespace auburnrail {

using namespace std::chrono_literals;

/// Three emulated endpoints behind one or more entries. Endpoints are guarded by `mutex`, so that
/// entries may run on several threads; the settings are changed only before or between runs.
struct FakeFleet
{
    FakeFleet()
    {
        for (const auto *name : {"p", "q", "r"})
            this->endpoints[name].name = name;
        this->endpoints["p"].primary = true;
    }

    auto run(const ConnectionHandle &handle, const EndpointRequest &request) -> EndpointResponse
    {
        const auto lock = std::lock_guard(this->mutex);
        return this->endpoints[handle.endpoint].run(request, handle.id);
    }

    /// Copies the primary's log to a replica.
    auto replicate(const std::string &name) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        if (this->view.serving && name != this->view.primary)
            this->endpoints[name].log = this->endpoints[this->view.primary].log;
    }

    /// Begins a failover: fences every endpoint at the next term.
    auto fence() -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        ++this->view.term;
        this->view.serving = false;
        for (auto &[name, endpoint] : this->endpoints) {
            endpoint.term = this->view.term;
            endpoint.primary = false;
            endpoint.transactions.clear();
        }
    }

    /// Ends a failover: promotes the most advanced of the other endpoints, which form a majority.
    auto promote() -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        auto best = std::string();
        for (const auto &[name, endpoint] : this->endpoints) {
            if (name != this->view.primary
                && (best.empty() || endpoint.position() > this->endpoints[best].position())) {
                best = name;
            }
        }
        this->view.primary = best;
        this->view.serving = true;
        this->endpoints[best].primary = true;
        if (this->promotionEntry)
            this->endpoints[best].append({});
    }

    [[nodiscard]] auto currentView() -> GroupView
    {
        const auto lock = std::lock_guard(this->mutex);
        return this->view;
    }

    [[nodiscard]] auto runsOf(const std::string &statement) -> int
    {
        auto runs = 0;
        for (auto &[name, endpoint] : this->endpoints)
            runs += endpoint.runs[statement];
        return runs;
    }

    [[nodiscard]] auto effectsOf(const std::string &statement) -> int
    {
        return this->endpoints[this->view.primary].count(statement);
    }

    std::mutex mutex;
    std::map<std::string, FakeEndpoint> endpoints;
    GroupView view{.group = "g", .term = 1, .primary = "p", .serving = true};
    bool replicating = true;
    bool promotionEntry = true; ///< A new primary writes an entry of its term, as in Raft.
    std::function<auto(const ConnectionHandle &, const EndpointRequest &)->Fault> fault;
    std::function<auto()->void> beforeConfirm; ///< Called when a write waits for a majority.
    std::function<auto()->void> afterConfirm;  ///< Called when the wait has ended.
};

} // namespace auburnrail

#endif
