#ifndef AUBURNRAIL_REQUEST_REQUESTHOOKS_H
#define AUBURNRAIL_REQUEST_REQUESTHOOKS_H

#include <request/CallerAuthorisation.h>
#include <request/CallerResponse.h>
#include <request/ConnectionHandle.h>
#include <request/EndpointExchange.h>
#include <request/EndpointRequest.h>
#include <request/GroupView.h>
#include <request/RequestRecord.h>
#include <request/RequestRefusal.h>

#include <core/Executor.h>
#include <core/Position.h>
#include <core/RandomSource.h>
#include <core/ReasonCode.h>
#include <core/Time.h>

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace auburnrail {

/// External inputs and effects of a RequestMachine. A hook with `done` calls it exactly once,
/// immediately or later but within the given deadline or time limit, and always on the thread that
/// runs the machine.
struct RequestHooks
{
    using AdmitDone = std::function<auto(std::optional<RequestRefusal>)->void>;
    using AcquireDone = std::function<auto(absl::StatusOr<ConnectionHandle>)->void>;
    using ExchangeDone = std::function<auto(EndpointExchange)->void>;
    using ConfirmDone = std::function<auto(bool confirmed)->void>;

    std::function<auto(const std::string &key, const std::string &service)
                      ->std::variant<CallerAuthorisation, ReasonCode>>
        authorise;
    std::function<auto(const std::string &service)->std::optional<GroupView>> groupOf;
    std::function<auto()->bool> holdsLease;

    /// Takes a token of the rate limit; `done` gets a refusal, or nothing when admitted.
    std::function<auto(const std::string &organisation, TimePoint deadline, AdmitDone done)->void>
        admit;

    /// Acquires a connection for one exchange or one transaction. `kResourceExhausted`: no
    /// connection was free in time. Any other error: none could be opened.
    std::function<auto(const std::string &endpoint, const std::string &organisation,
                       std::uint32_t weight, TimePoint deadline, AcquireDone done)
                      ->void>
        acquire;
    std::function<auto(const ConnectionHandle &handle, bool reusable)->void> release;

    std::function<auto(const ConnectionHandle &handle, const EndpointRequest &request,
                       Duration timeLimit, ExchangeDone done)
                      ->void>
        exchange;

    /// Calls `done(true)` once a majority of the group has reached `position` in its term.
    std::function<auto(const std::string &group, Position position, TimePoint deadline,
                       ConfirmDone done)
                      ->void>
        awaitReplicas;

    /// Reports the position that a response of an endpoint contained. Optional.
    std::function<
        auto(const std::string &group, const std::string &endpoint, Position position)->void>
        positionSeen;

    /// Calls `decide`, by which the machine decides whether it acknowledges a write, and returns
    /// its result. Optional.
    std::function<auto(const std::string &group, Position position,
                       const std::function<auto()->bool> &decide)
                      ->bool>
        acknowledge;

    std::function<auto(Duration delay, Task task)->void> after;
    RandomSource random;
    Clock now;
    std::function<auto()->std::chrono::sys_seconds> wallClock; ///< For session tokens only.

    std::function<auto(CallerResponse response)->void> respond; ///< Called exactly once.
    std::function<auto(RequestRecord record)->void> explain;    ///< Optional.
};

} // namespace auburnrail

#endif
