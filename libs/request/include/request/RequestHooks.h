#ifndef AUBURNRAIL_REQUEST_REQUESTHOOKS_H
#define AUBURNRAIL_REQUEST_REQUESTHOOKS_H

#include <request/CallerAnswer.h>
#include <request/CallerAuthorisation.h>
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

/// Everything that a RequestMachine reads or does outside itself. A hook with `done` calls it
/// exactly once, by the deadline or time limit it was given, at once or later, and always on the
/// thread that runs the machine.
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

    /// Takes a rate token; `done` gets a refusal, or nothing when admitted.
    std::function<auto(const std::string &organisation, TimePoint deadline, AdmitDone done)->void>
        admit;

    /// Gets a connection for one exchange or one transaction. `kResourceExhausted`: no connection
    /// was free in time. Any other error: none could be opened.
    std::function<auto(const std::string &endpoint, const std::string &organisation,
                       std::uint32_t weight, TimePoint deadline, AcquireDone done)
                      ->void>
        acquire;
    std::function<auto(const ConnectionHandle &handle, bool reusable)->void> release;

    std::function<auto(const ConnectionHandle &handle, const EndpointRequest &request,
                       Duration timeLimit, ExchangeDone done)
                      ->void>
        exchange;

    /// `done(true)` once a majority of the group, in the term of `position`, holds it.
    std::function<auto(const std::string &group, Position position, TimePoint deadline,
                       ConfirmDone done)
                      ->void>
        awaitReplicas;

    /// Tells what an answer said of the position of an endpoint. Optional.
    std::function<
        auto(const std::string &group, const std::string &endpoint, Position position)->void>
        positionSeen;

    std::function<auto(Duration delay, Task task)->void> after;
    RandomSource random;
    Clock now;
    std::function<auto()->std::chrono::sys_seconds> wallClock; ///< For session tokens only.

    std::function<auto(CallerAnswer answer)->void> answer;   ///< Called exactly once.
    std::function<auto(RequestRecord record)->void> explain; ///< Optional.
};

} // namespace auburnrail

#endif
