#ifndef AUBURNRAIL_WIRE_CONTROLSERVERHOOKS_H
#define AUBURNRAIL_WIRE_CONTROLSERVERHOOKS_H

#include <heartbeat/Heartbeat.h>
#include <heartbeat/HeartbeatAnswer.h>
#include <quota/TokenRequest.h>
#include <quota/TokenResponse.h>

#include <functional>

namespace auburnrail {

/// Handlers of a ControlServer. They run on its few threads, so they must not wait.
struct ControlServerHooks
{
    /// May call `done` later, on any thread, to hold the answer back.
    std::function<auto(const Heartbeat &heartbeat,
                       std::function<auto(const HeartbeatAnswer &)->void> done)
                      ->void>
        heartbeat;
    std::function<auto(const TokenRequest &request)->TokenResponse> takeTokens;
};

} // namespace auburnrail

#endif
