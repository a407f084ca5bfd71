#ifndef AUBURNRAIL_REQUEST_REQUESTMACHINE_H
#define AUBURNRAIL_REQUEST_REQUESTMACHINE_H

#include <request/CallerRequest.h>
#include <request/RequestHooks.h>
#include <request/RequestTables.h>
#include <request/detail/RequestFacts.h>

#include <session/ReadPlan.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace auburnrail {

/// Serves one request from authorisation to its answer. `RequestMachine::serve(...)` starts it; it
/// keeps itself alive through the callbacks it waits for, and calls `hooks.answer` exactly once.
/// Thread rule: serve() and every callback run on one thread at a time; no hook is called with a
/// table's mutex held.
class RequestMachine : public std::enable_shared_from_this<RequestMachine>
{
public:
    static constexpr auto FIRST_BACKOFF_MS = std::chrono::milliseconds(5);
    static constexpr auto LONGEST_BACKOFF_MS = std::chrono::milliseconds(200);
    static constexpr auto FIRST_PRIMARY_WAIT_MS = std::chrono::milliseconds(10);
    /// Attempts of one request that reached an endpoint; waits for a primary are not counted.
    static constexpr auto MAX_ATTEMPTS = 8;
    /// A repeatable exchange gets half of the time left, at least this.
    static constexpr auto LEAST_TIME_LIMIT_MS = std::chrono::milliseconds(100);

    /// Starts to serve `request`.
    static auto serve(CallerRequest request, RequestHooks hooks, const RequestTables &tables)
        -> void;

    RequestMachine(CallerRequest request, RequestHooks hooks, const RequestTables &tables);

private:
    auto start() -> void;
    auto checkRight() -> bool;
    auto authorise(const std::string &key) -> bool;
    auto admit() -> void;
    auto attempt() -> void;
    auto attemptRead() -> void;
    auto attemptPrimary() -> void;
    auto waitForPrimary() -> void;
    auto acquire(const std::string &endpoint) -> void;
    auto acquired(const absl::StatusOr<ConnectionHandle> &handle) -> void;
    auto awaitReplica() -> void;
    auto exchange(EndpointOperation operation, RequestHooks::ExchangeDone done) -> void;
    auto buildRequest(EndpointOperation operation) -> EndpointRequest;
    auto timeLimit(EndpointOperation operation) -> Duration;
    auto observe(const EndpointExchange &end) -> void;
    auto exchanged(const EndpointExchange &end) -> void;
    auto refused(const EndpointAnswer &answer) -> void;
    auto completed(const EndpointAnswer &answer) -> void;
    auto confirm(const EndpointAnswer &answer) -> void;
    auto confirmed(const EndpointAnswer &answer, bool onMajority) -> void;
    auto pinTransaction(const EndpointAnswer &answer) -> void;
    auto startTransactionStep() -> void;
    auto transactionExchanged(const EndpointExchange &end) -> void;
    auto transactionRefused(const EndpointAnswer &answer) -> void;
    auto keepTransaction() -> void;
    auto endTransaction(bool reusable) -> void;
    auto retry(ReasonCode reason, const std::string &message, bool charged) -> void;
    auto tryElsewhere(ReasonCode reason, const std::string &message) -> void;
    auto releaseConnection(bool reusable) -> void;
    auto fail(ReasonCode reason, const std::string &message) -> void;
    auto succeed(const EndpointAnswer &answer) -> void;
    auto sealSession(const EndpointAnswer &answer) -> std::string;
    auto finish(CallerAnswer answer) -> void;
    auto explain(RequestStep step, std::string detail) -> void;
    [[nodiscard]] auto isRead() const -> bool;
    [[nodiscard]] auto repeatable() const -> bool;
    [[nodiscard]] auto minimumPosition() const -> std::optional<Position>;
    [[nodiscard]] auto jittered(std::chrono::milliseconds first, int count) -> Duration;

    CallerRequest request;
    RequestHooks hooks;
    RequestTables tables;
    detail::RequestFacts facts;
};

} // namespace auburnrail

#endif
