#include "RelayChannel.h"

#include <core/RankedLock.h>

#include <utility>

namespace auburnrail::detail {

RelayChannel::RelayChannel(std::shared_ptr<RelayLink> channelLink, RelayOpening channelOpening)
    : link(std::move(channelLink))
    , channelNumber(link->nextNumber())
    , opening(std::move(channelOpening))
    , openedAt(link->now())
{
}

auto RelayChannel::number() const -> std::uint64_t
{
    return this->channelNumber;
}

auto RelayChannel::applyToSession(const ServerRequest &request) -> bool
{
    switch (request.operation) {
    case ServerOperation::SetValue:
        this->values.insert_or_assign(request.name, request.value);
        this->valuesChanged = true;
        return true;
    case ServerOperation::Prepare:
        this->prepared.insert_or_assign(request.name,
                                        PreparedStatement{request.value, request.writes});
        return true;
    case ServerOperation::ResetSession:
        this->values.clear();
        this->prepared.clear();
        this->valuesChanged = true;
        return true;
    default:
        return false;
    }
}

auto RelayChannel::compose(const ServerRequest &request, Duration timeLimit) -> RelayRequest
{
    auto message =
        RelayRequest{.channel = this->channelNumber, .request = request, .timeLimit = timeLimit};
    if (!std::exchange(this->opened, true)) {
        message.opening = this->opening;
        const auto waited = this->link->now() - this->openedAt;
        message.opening->objectiveLeft -= waited;
        message.opening->startLeft -= waited;
    }
    if (std::exchange(this->valuesChanged, false))
        message.values = this->values;
    if (request.operation == ServerOperation::Execute) {
        const auto found = this->prepared.find(request.name);
        if (found != this->prepared.end())
            message.prepared = found->second;
    }
    return message;
}

auto RelayChannel::exchange(const ServerRequest &request, Duration timeLimit,
                            PooledConnection::Done done) -> void
{
    auto message = RelayRequest();
    auto answeredHere = false;
    {
        const RankedLock lock(this->mutex);
        const auto isRollbackOfNothing =
            request.operation == ServerOperation::Rollback && !this->opened;
        answeredHere = this->applyToSession(request) || isRollbackOfNothing;
        if (!answeredHere)
            message = this->compose(request, timeLimit);
    }
    if (answeredHere) {
        done(ServerOutcome{.phase = ServerPhase::Responded,
                           .response = StatementResponse{.completed = true},
                           .sentAt = this->link->now()});
        return;
    }
    this->link->exchange(message, this->opening.endpoint, std::move(done));
}

auto RelayChannel::end(bool reusable) -> void
{
    {
        const RankedLock lock(this->mutex);
        if (std::exchange(this->ended, true) || !this->opened)
            return;
    }
    this->link->send(RelayEnd{.channel = this->channelNumber, .reusable = reusable});
}

} // namespace auburnrail::detail
