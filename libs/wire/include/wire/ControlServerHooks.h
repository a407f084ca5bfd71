#ifndef AUBURNRAIL_WIRE_CONTROLSERVERHOOKS_H
#define AUBURNRAIL_WIRE_CONTROLSERVERHOOKS_H

#include <heartbeat/Heartbeat.h>
#include <heartbeat/HeartbeatAnswer.h>
#include <quota/TokenRequest.h>
#include <quota/TokenResponse.h>

#include <functional>

namespace auburnrail {

/// Handlers of a ControlServer. Each call runs on the thread of its connection and may wait.
struct ControlServerHooks
{
    std::function<auto(const Heartbeat &heartbeat)->HeartbeatAnswer> heartbeat;
    std::function<auto(const TokenRequest &request)->TokenResponse> takeTokens;
};

} // namespace auburnrail

#endif
