#ifndef AUBURNRAIL_REQUEST_REQUESTMACHINE_H
#define AUBURNRAIL_REQUEST_REQUESTMACHINE_H

#include <request/CallerRequest.h>
#include <request/RequestHooks.h>
#include <request/RequestTables.h>
#include <request/detail/RequestState.h>

#include <session/ReadPlan.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace auburnrail {

/// State machine that serves one request from authorisation to its response. serve() starts it; the
/// pending callbacks keep it alive, and it calls `hooks.respond` exactly once. Thread rule: serve()
/// and every callback run on one thread at a time; no hook is called with a table's mutex held.
class RequestMachine : public std::enable_shared_from_this<RequestMachine>
{
public:
    static constexpr auto INITIAL_BACKOFF_MS = std::chrono::milliseconds(5);
    static constexpr auto MAX_BACKOFF_MS = std::chrono::milliseconds(200);
    static constexpr auto INITIAL_PRIMARY_WAIT_MS = std::chrono::milliseconds(10);
    /// Limit of attempts that reach an endpoint; waits for a primary are not counted.
    static constexpr auto MAX_ATTEMPTS = 8;
    /// A repeatable exchange gets half of the remaining time, but at least this.
    static constexpr auto MIN_TIME_LIMIT_MS = std::chrono::milliseconds(100);

    static auto serve(CallerRequest request, RequestHooks hooks, const RequestTables &tables)
        -> void;

    RequestMachine(CallerRequest request, RequestHooks hooks, const RequestTables &tables);

private:
    auto start() -> void;
    auto checkAuthorisation() -> bool;
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
    auto observe(const EndpointExchange &result) -> void;
    auto exchanged(const EndpointExchange &result) -> void;
    auto refused(const EndpointResponse &response) -> void;
    auto completed(const EndpointResponse &response) -> void;
    auto confirm(const EndpointResponse &response) -> void;
    auto confirmed(const EndpointResponse &response, bool onMajority) -> void;
    auto pinTransaction(const EndpointResponse &response) -> void;
    auto startTransactionStep() -> void;
    auto transactionExchanged(const EndpointExchange &result) -> void;
    auto transactionRefused(const EndpointResponse &response) -> void;
    auto keepTransaction() -> void;
    auto endTransaction(bool reusable) -> void;
    auto retry(ReasonCode reason, const std::string &message, bool charged) -> void;
    auto tryNextEndpoint(ReasonCode reason, const std::string &message) -> void;
    auto releaseConnection(bool reusable) -> void;
    auto fail(ReasonCode reason, const std::string &message) -> void;
    auto succeed(const EndpointResponse &response) -> void;
    auto sealSession(const EndpointResponse &response) -> std::string;
    auto finish(CallerResponse response) -> void;
    auto explain(RequestStep step, std::string detail) -> void;
    [[nodiscard]] auto isRead() const -> bool;
    [[nodiscard]] auto repeatable() const -> bool;
    [[nodiscard]] auto minimumPosition() const -> std::optional<Position>;
    [[nodiscard]] auto jittered(std::chrono::milliseconds first, int count) -> Duration;

    CallerRequest request;
    RequestHooks hooks;
    RequestTables tables;
    detail::RequestState state;
};

} // namespace auburnrail

#endif
