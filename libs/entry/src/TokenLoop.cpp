#include <entry/TokenLoop.h>

#include <daemon/Logging.h>
#include <lease/LeaseTiming.h>

#include <core/RankedLock.h>
#include <core/StartThread.h>

#include <cassert>

namespace auburnrail {

namespace {

/// A leader that does not respond within a lease is gone. A shorter limit makes a busy leader do
/// more: what it granted is lost with the connection, and is asked for again on a new one.
constexpr auto RESPONSE_TIME_LIMIT = LEASE_DURATION;

} // namespace

TokenLoop::TokenLoop(EntryTables &entryTables, TokenLoopHooks loopHooks)
    : tables(entryTables)
    , hooks(std::move(loopHooks))
{
    assert(this->hooks.leader && this->hooks.send && "every hook must be set");
}

TokenLoop::~TokenLoop()
{
    this->stop();
}

auto TokenLoop::start() -> void
{
    this->thread =
        startRequiredThread([this] { this->run(); }, refusalLogger("quota", NO_ROOM_FOR_THREAD));
}

auto TokenLoop::stop() -> void
{
    {
        const RankedLock lock(this->mutex);
        this->stopping = true;
        this->changed.notifyAll();
    }
    if (this->thread.joinable())
        this->thread.join();
}

auto TokenLoop::wake() -> void
{
    const RankedLock lock(this->mutex);
    this->woken = true;
    this->changed.notifyAll();
}

auto TokenLoop::awaitDemand() -> bool
{
    const auto due = this->tables.tokens.nextRequestAt(this->tables.executor.now());
    const RankedLock lock(this->mutex);
    while (!this->stopping && !this->woken) {
        if (!due)
            this->changed.wait(this->mutex);
        else if (!this->changed.waitUntil(this->mutex, *due))
            break;
    }
    this->woken = false;
    return !this->stopping;
}

auto TokenLoop::run() -> void
{
    while (this->awaitDemand()) {
        if (const auto request = this->tables.tokens.beginRequest(this->tables.executor.now()))
            this->sendRequest(*request);
    }
}

auto TokenLoop::sendRequest(const TokenRequest &request) -> void
{
    const auto member = this->hooks.leader();
    const auto isLeader = [this, &member] {
        return this->hooks.leader() == member;
    };
    const auto response = member.empty()
                              ? absl::UnavailableError("no control leader is known")
                              : this->hooks.send(member, request, RESPONSE_TIME_LIMIT, isLeader);
    const auto now = this->tables.executor.now();
    if (!response.ok()) {
        logComposedLine(LogLevel::Warning, "quota", "request for tokens failed", [&] {
            return LogFields{{"member", member},
                             {"organisations", std::to_string(request.demands.size())},
                             {"error", std::string(response.status().message())}};
        });
        this->tables.tokens.failed(now);
        return;
    }
    for (const auto &grant : this->tables.tokens.complete(*response, now))
        this->tables.admission.offer(grant.organisation, grant.tokens, now);
}

} // namespace auburnrail
