// The way of one request from its channel to the server and back. Messages and channels are in
// RelaySession.cpp.
#include "RelaySession.h"

#include <algorithm>
#include <utility>

namespace auburnrail::detail {

namespace {

/// Time kept for the way of a response to the origin, so that it learns of a server that doesn't
/// respond before it gives up on the holder. A little more than a round trip between regions.
constexpr auto RETURN_MARGIN_MS = std::chrono::milliseconds(30);

auto refusalOf(const absl::Status &status) -> RelayRefusal
{
    if (absl::IsResourceExhausted(status))
        return RelayRefusal::Overloaded;
    return absl::IsDeadlineExceeded(status) ? RelayRefusal::TooLate : RelayRefusal::NoConnection;
}

} // namespace

auto RelaySession::lease(const ChannelPointer &channel) -> void
{
    const auto &opening = channel->opening;
    const auto refusal = this->shared->hooks.refusalOf(opening, false, this->now());
    if (refusal != RelayRefusal::None) {
        this->refuse(channel, refusal, std::string(nameOf(refusal)));
        return;
    }
    const auto placement = Placement{
        .endpoint = opening.endpoint, .isPrimary = opening.isPrimary, .term = opening.term};
    const auto request =
        ConnectionRequest{.endpoint = opening.endpoint,
                          .organisation = opening.organisation,
                          .priority = opening.priority,
                          .objectiveEnd = channel->openedAt + opening.objectiveLeft,
                          .deadline = channel->openedAt + opening.startLeft,
                          .opensTransaction = opening.opensTransaction};
    this->shared->hooks.lease(
        placement, request,
        [self = this->shared_from_this(), channel](absl::StatusOr<PooledConnectionPointer> result) {
            self->stream->executor().post([self, channel, result = std::move(result)]() mutable {
                self->leased(channel, std::move(result));
            });
        });
}

auto RelaySession::leased(const ChannelPointer &channel,
                          absl::StatusOr<PooledConnectionPointer> result) -> void
{
    if (!result.ok()) {
        this->refuse(channel, refusalOf(result.status()), std::string(result.status().message()));
        return;
    }
    channel->connection = *std::move(result);
    if (channel->ended || this->closed) {
        this->close(channel, true);
        return;
    }
    const auto requests = channel->connection->session.preparations(
        channel->values, channel->current->prepared, channel->inTransaction);
    channel->preparations.assign(requests.begin(), requests.end());
    this->prepareNext(channel);
}

auto RelaySession::exchange(
    const ChannelPointer &channel, const ServerRequest &request,
    std::function<auto(RelaySession &session, ServerOutcome outcome)->void> next) -> void
{
    const auto now = this->now();
    // A rollback must reach the server whatever this entry believes.
    const auto refusal =
        request.operation == ServerOperation::Rollback
            ? RelayRefusal::None
            : this->shared->hooks.refusalOf(channel->opening, channel->inTransaction, now);
    if (refusal != RelayRefusal::None) {
        this->refuse(channel, refusal, std::string(nameOf(refusal)));
        return;
    }
    const auto limit = channel->receivedAt + channel->current->timeLimit - RETURN_MARGIN_MS - now;
    if (limit <= Duration::zero()) {
        this->refuse(channel, RelayRefusal::TooLate, "no time was left to send the request");
        return;
    }
    channel->connection->exchange(
        request, limit,
        [self = this->shared_from_this(), channel, next = std::move(next)](ServerOutcome outcome) {
            self->stream->executor().post(
                [self, channel, next, outcome = std::move(outcome)]() mutable {
                    self->shared->hooks.observe(*channel->connection, outcome);
                    next(*self, std::move(outcome));
                });
        });
}

auto RelaySession::prepareNext(const ChannelPointer &channel) -> void
{
    if (channel->preparations.empty()) {
        this->run(channel);
        return;
    }
    const auto request = channel->preparations.front();
    channel->preparations.pop_front();
    this->exchange(channel, request,
                   [channel, request](RelaySession &session, ServerOutcome outcome) {
                       const auto isApplied =
                           outcome.phase == ServerPhase::Responded && !outcome.response.failure;
                       if (isApplied) {
                           channel->connection->session.applied(request);
                           session.prepareNext(channel);
                           return;
                       }
                       // The statement itself was not sent.
                       if (outcome.phase != ServerPhase::Responded)
                           outcome.phase = ServerPhase::NotSent;
                       session.respond(channel, std::move(outcome));
                   });
}

auto RelaySession::run(const ChannelPointer &channel) -> void
{
    auto request = channel->current->request;
    if (request.operation == ServerOperation::Execute && channel->current->prepared)
        request.name = channel->connection->session.nameOnServer(*channel->current->prepared);
    this->exchange(channel, request, [channel](RelaySession &session, ServerOutcome outcome) {
        session.respond(channel, std::move(outcome));
    });
}

auto RelaySession::refuseUnopened(const RelayRequest &request, RelayRefusal refusal) -> void
{
    this->send(RelayResponse{
        .channel = request.channel,
        .refusal = refusal,
        .outcome = {.phase = ServerPhase::NotSent, .error = std::string(nameOf(refusal))}});
}

auto RelaySession::refuse(const ChannelPointer &channel, RelayRefusal refusal, std::string reason)
    -> void
{
    this->send(RelayResponse{.channel = channel->current->channel,
                             .refusal = refusal,
                             .outcome = {.phase = ServerPhase::NotSent, .error = std::move(reason)},
                             .load = this->shared->hooks.loadOf(channel->opening.endpoint)});
    this->close(channel, !channel->inTransaction);
}

auto RelaySession::respond(const ChannelPointer &channel, ServerOutcome outcome) -> void
{
    const auto isOpen = outcome.phase == ServerPhase::Responded;
    channel->inTransaction = isOpen && outcome.response.state != SessionState::Idle;
    const auto number = channel->current->channel;
    if (!channel->ended) {
        this->send(RelayResponse{.channel = number,
                                 .outcome = std::move(outcome),
                                 .load = this->shared->hooks.loadOf(channel->opening.endpoint)});
    }
    if (!isOpen || channel->ended || this->closed) {
        this->close(channel, false);
        return;
    }
    this->endRequest(channel);
}

auto RelaySession::endRequest(const ChannelPointer &channel) -> void
{
    if (!channel->current)
        return;
    channel->current.reset();
    --this->shared->busyChannels;
}

} // namespace auburnrail::detail
