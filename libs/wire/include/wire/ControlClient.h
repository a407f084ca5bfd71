#ifndef AUBURNRAIL_WIRE_CONTROLCLIENT_H
#define AUBURNRAIL_WIRE_CONTROLCLIENT_H

#include <heartbeat/Heartbeat.h>
#include <heartbeat/HeartbeatAnswer.h>
#include <quota/TokenRequest.h>
#include <quota/TokenResponse.h>

#include <core/Time.h>

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace auburnrail {

/// Connection of an entry to one control member. Thread rule: one caller at a time.
class ControlClient
{
public:
    /// `address` is IP:port of the member's heartbeat server.
    explicit ControlClient(const std::string &address);
    ControlClient(const ControlClient &) = delete;
    auto operator=(const ControlClient &) -> ControlClient & = delete;
    ~ControlClient();

    /// Sends a heartbeat and waits for the answer, at most `timeout` for each step. Connects when
    /// needed; after `kUnavailable` the next call connects anew. `kDataLoss`: the answer can't be
    /// decoded.
    [[nodiscard]] auto heartbeat(const Heartbeat &message, Duration timeout)
        -> absl::StatusOr<HeartbeatAnswer>;

    /// Asks for single tokens; the same time limit and errors as heartbeat().
    /// Ends early, also with `kUnavailable`, soon after `isWanted` has become false.
    [[nodiscard]] auto takeTokens(const TokenRequest &request, Duration timeout,
                                  const std::function<auto()->bool> &isWanted)
        -> absl::StatusOr<TokenResponse>;

private:
    struct Impl;

    std::unique_ptr<Impl> impl;
};

} // namespace auburnrail

#endif
