#include "RelayConversion.h"

#include "EnumConversion.h"

#include <chrono>

namespace auburnrail::detail {

namespace {

using namespace thriftgen;

auto toMicros(Duration length) -> std::int64_t
{
    return std::chrono::floor<std::chrono::microseconds>(length).count();
}

auto toPosition(const Position &position) -> RelayPositionMessage
{
    auto message = RelayPositionMessage();
    message.term = static_cast<std::int64_t>(position.term);
    message.index = static_cast<std::int64_t>(position.index);
    return message;
}

auto fromPosition(const RelayPositionMessage &message) -> Position
{
    return Position{static_cast<std::uint64_t>(message.term),
                    static_cast<std::uint64_t>(message.index)};
}

auto toLoad(const RelayLoad &load) -> RelayLoadMessage
{
    auto message = RelayLoadMessage();
    message.inFlight = static_cast<std::int32_t>(load.inFlight);
    message.responseMicros = toMicros(load.responseTime);
    message.primaryTerm = static_cast<std::int64_t>(load.primaryTerm);
    if (load.primaryPosition)
        message.__set_primaryPosition(toPosition(*load.primaryPosition));
    // Rounded up: the position must not seem newer than it is.
    message.primaryAgeMicros = toMicros(load.primaryAge) + 1;
    return message;
}

auto fromLoad(const RelayLoadMessage &message) -> RelayLoad
{
    auto load = RelayLoad{.inFlight = static_cast<std::uint32_t>(message.inFlight),
                          .responseTime = std::chrono::microseconds(message.responseMicros),
                          .primaryTerm = static_cast<std::uint64_t>(message.primaryTerm),
                          .primaryPosition = {},
                          .primaryAge = std::chrono::microseconds(message.primaryAgeMicros)};
    if (message.__isset.primaryPosition)
        load.primaryPosition = fromPosition(message.primaryPosition);
    return load;
}

auto toOpening(const RelayOpening &opening) -> RelayOpeningMessage
{
    auto message = RelayOpeningMessage();
    message.endpoint = opening.endpoint;
    message.group = opening.group;
    message.organisation = opening.organisation;
    message.isPrimary = opening.isPrimary;
    message.term = static_cast<std::int64_t>(opening.term);
    message.priority = static_cast<std::int32_t>(opening.priority);
    message.objectiveLeftMicros = toMicros(opening.objectiveLeft);
    message.startLeftMicros = toMicros(opening.startLeft);
    message.opensTransaction = opening.opensTransaction;
    return message;
}

auto fromOpening(const RelayOpeningMessage &message) -> RelayOpening
{
    return RelayOpening{.endpoint = message.endpoint,
                        .group = message.group,
                        .organisation = message.organisation,
                        .isPrimary = message.isPrimary,
                        .term = static_cast<std::uint64_t>(message.term),
                        .priority = static_cast<std::uint32_t>(message.priority),
                        .objectiveLeft = std::chrono::microseconds(message.objectiveLeftMicros),
                        .startLeft = std::chrono::microseconds(message.startLeftMicros),
                        .opensTransaction = message.opensTransaction};
}

auto toServerRequest(const ServerRequest &request) -> RelayServerRequestMessage
{
    auto message = RelayServerRequestMessage();
    message.operation = toWireEnum(request.operation);
    message.id = request.id;
    message.text = request.text;
    message.name = request.name;
    message.value = request.value;
    message.writes = request.writes;
    if (request.minimumPosition)
        message.__set_minimumPosition(toPosition(*request.minimumPosition));
    return message;
}

auto fromServerRequest(const RelayServerRequestMessage &message) -> ServerRequest
{
    auto request = ServerRequest{.operation = fromWireEnum<ServerOperation>(message.operation),
                                 .id = message.id,
                                 .text = message.text,
                                 .name = message.name,
                                 .value = message.value,
                                 .writes = message.writes};
    if (message.__isset.minimumPosition)
        request.minimumPosition = fromPosition(message.minimumPosition);
    return request;
}

auto setField(RelayFrame &frame, const RelayChallenge &challenge) -> void
{
    auto message = RelayChallengeMessage();
    message.nonce = challenge.nonce;
    frame.__set_challenge(message);
}

auto setField(RelayFrame &frame, const RelayHello &hello) -> void
{
    auto message = RelayHelloMessage();
    message.instance = hello.instance;
    message.proof = hello.proof;
    frame.__set_hello(message);
}

auto setField(RelayFrame &frame, const RelayRequest &request) -> void
{
    auto message = RelayRequestMessage();
    message.channel = static_cast<std::int64_t>(request.channel);
    if (request.opening)
        message.__set_opening(toOpening(*request.opening));
    if (request.values)
        message.__set_values(*request.values);
    if (request.prepared) {
        auto prepared = RelayPreparedMessage();
        prepared.shape = request.prepared->shape;
        prepared.writes = request.prepared->writes;
        message.__set_prepared(prepared);
    }
    message.request = toServerRequest(request.request);
    message.timeLimitMicros = toMicros(request.timeLimit);
    frame.__set_request(message);
}

auto setField(RelayFrame &frame, const RelayResponse &response) -> void
{
    auto message = RelayResponseMessage();
    const auto &outcome = response.outcome;
    message.channel = static_cast<std::int64_t>(response.channel);
    message.refusal = toWireEnum(response.refusal);
    message.phase = toWireEnum(outcome.phase);
    message.error = outcome.error;
    message.rows = outcome.response.rows;
    message.signature = outcome.response.signature;
    if (outcome.response.failure) {
        auto failure = RelayFailureMessage();
        failure.error = toWireEnum(outcome.response.failure->error);
        failure.detail = outcome.response.failure->detail;
        message.__set_failure(failure);
    }
    message.completed = outcome.response.completed;
    message.state = toWireEnum(outcome.response.state);
    if (outcome.response.position)
        message.__set_position(toPosition(*outcome.response.position));
    message.load = toLoad(response.load);
    frame.__set_response(message);
}

auto setField(RelayFrame &frame, const RelayEnd &end) -> void
{
    auto message = RelayEndMessage();
    message.channel = static_cast<std::int64_t>(end.channel);
    message.reusable = end.reusable;
    frame.__set_ended(message);
}

auto setField(RelayFrame &frame, const RelayStatusRequest &request) -> void
{
    auto message = RelayStatusRequestMessage();
    message.number = static_cast<std::int64_t>(request.number);
    message.endpoint = request.endpoint;
    frame.__set_statusRequest(message);
}

auto setField(RelayFrame &frame, const RelayStatusResponse &response) -> void
{
    auto message = RelayStatusResponseMessage();
    message.number = static_cast<std::int64_t>(response.number);
    message.known = response.known;
    message.position = toPosition(response.position);
    // Rounded up: the position must not seem newer than it is.
    message.ageMicros = toMicros(response.age) + 1;
    message.load = toLoad(response.load);
    frame.__set_statusResponse(message);
}

auto setField(RelayFrame &frame, const RelayPing & /*ping*/) -> void
{
    frame.__set_ping(RelayEmptyMessage());
}

auto setField(RelayFrame &frame, const RelayPong & /*pong*/) -> void
{
    frame.__set_pong(RelayEmptyMessage());
}

auto fromRequest(const RelayRequestMessage &message) -> RelayRequest
{
    auto request = RelayRequest{.channel = static_cast<std::uint64_t>(message.channel),
                                .request = fromServerRequest(message.request),
                                .timeLimit = std::chrono::microseconds(message.timeLimitMicros)};
    if (message.__isset.opening)
        request.opening = fromOpening(message.opening);
    if (message.__isset.values)
        request.values = message.values;
    if (message.__isset.prepared)
        request.prepared = PreparedStatement{message.prepared.shape, message.prepared.writes};
    return request;
}

auto fromResponse(const RelayResponseMessage &message) -> RelayResponse
{
    auto response = RelayResponse{
        .channel = static_cast<std::uint64_t>(message.channel),
        .refusal = fromWireEnum<RelayRefusal>(message.refusal),
        .outcome = {.phase = fromWireEnum<ServerPhase>(message.phase), .error = message.error},
        .load = fromLoad(message.load)};
    auto &statement = response.outcome.response;
    statement.rows = message.rows;
    statement.signature = message.signature;
    if (message.__isset.failure) {
        statement.failure = StatementFailure{fromWireEnum<StatementError>(message.failure.error),
                                             message.failure.detail};
    }
    statement.completed = message.completed;
    statement.state = fromWireEnum<SessionState>(message.state);
    if (message.__isset.position)
        statement.position = fromPosition(message.position);
    return response;
}

auto fromStatusResponse(const RelayStatusResponseMessage &message) -> RelayStatusResponse
{
    return RelayStatusResponse{.number = static_cast<std::uint64_t>(message.number),
                               .known = message.known,
                               .position = fromPosition(message.position),
                               .age = std::chrono::microseconds(message.ageMicros),
                               .load = fromLoad(message.load)};
}

} // namespace

auto toFrame(const RelayMessage &message) -> RelayFrame
{
    auto frame = RelayFrame();
    std::visit([&frame](const auto &value) { setField(frame, value); }, message);
    return frame;
}

auto fromFrame(const RelayFrame &frame) -> RelayMessage
{
    const auto &isSet = frame.__isset;
    if (isSet.request)
        return fromRequest(frame.request);
    if (isSet.response)
        return fromResponse(frame.response);
    if (isSet.ended) {
        return RelayEnd{.channel = static_cast<std::uint64_t>(frame.ended.channel),
                        .reusable = frame.ended.reusable};
    }
    if (isSet.statusRequest) {
        return RelayStatusRequest{.number = static_cast<std::uint64_t>(frame.statusRequest.number),
                                  .endpoint = frame.statusRequest.endpoint};
    }
    if (isSet.statusResponse)
        return fromStatusResponse(frame.statusResponse);
    if (isSet.ping)
        return RelayPing();
    if (isSet.pong)
        return RelayPong();
    if (isSet.hello)
        return RelayHello{.instance = frame.hello.instance, .proof = frame.hello.proof};
    if (isSet.challenge)
        return RelayChallenge{.nonce = frame.challenge.nonce};
    throw DecodeFault("no known message is set");
}

} // namespace auburnrail::detail
