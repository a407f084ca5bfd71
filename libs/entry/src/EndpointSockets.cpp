#include <entry/EndpointSockets.h>

#include <endpoint/EndpointCodec.h>

#include <core/RankedLock.h>

#include <absl/strings/str_cat.h>

namespace auburnrail {

namespace {

auto failedExchange(EndpointExchangePhase phase, std::string error) -> EndpointExchange
{
    return EndpointExchange{.phase = phase, .response = {}, .error = std::move(error)};
}

auto toEndpointPhase(ExchangePhase phase) -> EndpointExchangePhase
{
    switch (phase) {
    case ExchangePhase::Connecting:
        return EndpointExchangePhase::Connecting;
    case ExchangePhase::Refused:
        return EndpointExchangePhase::Refused;
    case ExchangePhase::Sent:
        return EndpointExchangePhase::Sent;
    case ExchangePhase::TimedOut:
        return EndpointExchangePhase::TimedOut;
    case ExchangePhase::Truncated:
        return EndpointExchangePhase::Truncated;
    case ExchangePhase::Answered:
        return EndpointExchangePhase::Answered;
    }
    return EndpointExchangePhase::Sent;
}

auto exchangeOn(HttpConnection &connection, const EndpointRequest &request, Duration timeLimit)
    -> EndpointExchange
{
    const auto result = connection.exchange(encodeEndpointRequest(request), timeLimit);
    if (result.phase != ExchangePhase::Answered)
        return failedExchange(toEndpointPhase(result.phase), result.error);
    auto response = decodeEndpointResponse(result.response);
    if (!response.ok()) {
        return failedExchange(EndpointExchangePhase::Truncated,
                              std::string(response.status().message()));
    }
    return EndpointExchange{
        .phase = EndpointExchangePhase::Answered, .response = *std::move(response), .error = {}};
}

} // namespace

EndpointSockets::EndpointSockets(EndpointSocketsHooks connectionHooks)
    : hooks(std::move(connectionHooks))
{
}

auto EndpointSockets::open(const ConnectionHandle &handle, Duration timeLimit) -> absl::Status
{
    const auto address = this->hooks.resolve(handle.endpoint);
    if (!address)
        return absl::UnavailableError("unknown endpoint " + handle.endpoint);
    const auto connection = std::make_shared<HttpConnection>(*address);
    const auto request =
        EndpointRequest{.exchangeId = absl::StrCat(absl::Hex(this->hooks.random())),
                        .operation = EndpointOperation::Connect};
    const auto result = exchangeOn(*connection, request, timeLimit);
    if (result.phase != EndpointExchangePhase::Answered)
        return absl::UnavailableError(result.error);
    if (result.response.exchangeId != request.exchangeId)
        return absl::UnavailableError("the answer belongs to another exchange");
    if (result.response.refusal != EndpointRefusal::None) {
        return absl::ResourceExhaustedError("the endpoint refused the connection: "
                                            + std::string(nameOf(result.response.refusal)));
    }
    const RankedLock lock(this->mutex);
    this->connections.insert_or_assign(handle.id, connection);
    return absl::OkStatus();
}

auto EndpointSockets::close(const ConnectionHandle &handle) -> void
{
    auto connection = std::shared_ptr<HttpConnection>();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->connections.find(handle.id);
        if (found == this->connections.end())
            return;
        connection = std::move(found->second);
        this->connections.erase(found);
    }
    connection->abort();
}

auto EndpointSockets::find(std::uint64_t id) -> std::shared_ptr<HttpConnection>
{
    const RankedLock lock(this->mutex);
    const auto found = this->connections.find(id);
    return found == this->connections.end() ? nullptr : found->second;
}

auto EndpointSockets::exchange(const ConnectionHandle &handle, const EndpointRequest &request,
                               Duration timeLimit) -> EndpointExchange
{
    const auto connection = this->find(handle.id);
    if (connection == nullptr)
        return failedExchange(EndpointExchangePhase::Connecting, "the connection is closed");
    return exchangeOn(*connection, request, timeLimit);
}

auto EndpointSockets::exchangeOnce(const std::string &endpoint, EndpointRequest request,
                                   Duration timeLimit) -> EndpointExchange
{
    const auto address = this->hooks.resolve(endpoint);
    if (!address)
        return failedExchange(EndpointExchangePhase::Connecting, "unknown endpoint " + endpoint);
    request.exchangeId = absl::StrCat(absl::Hex(this->hooks.random()));
    auto connection = HttpConnection(*address);
    auto result = exchangeOn(connection, request, timeLimit);
    if (result.phase == EndpointExchangePhase::Answered
        && result.response.exchangeId != request.exchangeId) {
        return failedExchange(EndpointExchangePhase::Truncated,
                              "the answer belongs to another exchange");
    }
    return result;
}

} // namespace auburnrail
