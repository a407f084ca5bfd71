#ifndef AUBURNRAIL_ENTRY_TOKENLOOP_H
#define AUBURNRAIL_ENTRY_TOKENLOOP_H

#include <entry/EntryTables.h>
#include <entry/TokenLoopHooks.h>

#include <core/RankedCondition.h>
#include <core/RankedMutex.h>

#include <thread>

namespace auburnrail {

/// Asks the control leader for the tokens that waiting requests need, and hands them to the waiting
/// requests. Runs on its own thread, because the response to a heartbeat may be held.
class TokenLoop
{
public:
    /// `entryTables` must outlive this object.
    TokenLoop(EntryTables &entryTables, TokenLoopHooks loopHooks);
    TokenLoop(const TokenLoop &) = delete;
    auto operator=(const TokenLoop &) -> TokenLoop & = delete;

    /// Calls stop().
    ~TokenLoop();

    auto start() -> void;

    /// Stops the loop after the current request.
    auto stop() -> void;

    /// Looks for due requests now. Safe from any thread.
    auto wake() -> void;

private:
    auto run() -> void;
    auto sendRequest(const TokenRequest &request) -> void;

    /// Waits until a request may be due; false when the loop is to stop.
    [[nodiscard]] auto awaitDemand() -> bool;

    EntryTables &tables;
    const TokenLoopHooks hooks;
    RankedMutex mutex{LockRank::WorkerQueue};
    RankedCondition changed;
    bool woken ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread thread;
};

} // namespace auburnrail

#endif
