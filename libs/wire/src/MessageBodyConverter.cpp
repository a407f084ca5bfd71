#include "MessageBodyConverter.h"

#include "ConsensusConverter.h"
#include "ScalarConverter.h"

#include <utility>
#include <variant>

namespace auburnrail::detail {

namespace {

auto setBody(wire::MessageBody &target, const VoteRequest &body) -> void
{
    auto value = wire::VoteRequest();
    value.preVote = body.preVote;
    value.lastIndex = signedValue(body.lastIndex);
    value.lastTerm = signedValue(body.lastTerm);
    target.__set_voteRequest(value);
}

auto setBody(wire::MessageBody &target, const VoteResponse &body) -> void
{
    auto value = wire::VoteResponse();
    value.preVote = body.preVote;
    value.granted = body.granted;
    target.__set_voteResponse(value);
}

auto setBody(wire::MessageBody &target, const AppendRequest &body) -> void
{
    auto value = wire::AppendRequest();
    value.previousIndex = signedValue(body.previousIndex);
    value.previousTerm = signedValue(body.previousTerm);
    value.commitIndex = signedValue(body.commitIndex);
    value.sentAtNanos = body.sentAt.count();
    for (const auto &entry : body.entries)
        value.entries.push_back(toWire(entry));
    target.__set_appendRequest(value);
}

auto setBody(wire::MessageBody &target, const AppendResponse &body) -> void
{
    auto value = wire::AppendResponse();
    value.accepted = body.accepted;
    value.matchIndex = signedValue(body.matchIndex);
    value.retryFrom = signedValue(body.retryFrom);
    value.sentAtNanos = body.sentAt.count();
    target.__set_appendResponse(value);
}

auto setBody(wire::MessageBody &target, const SnapshotRequest &body) -> void
{
    auto value = wire::SnapshotRequest();
    value.index = signedValue(body.index);
    value.term = signedValue(body.term);
    value.configuration = configurationToWire(body.configuration);
    value.offset = signedValue(body.offset);
    value.chunk = body.chunk;
    value.last = body.last;
    value.sentAtNanos = body.sentAt.count();
    target.__set_snapshotRequest(value);
}

auto setBody(wire::MessageBody &target, const SnapshotResponse &body) -> void
{
    auto value = wire::SnapshotResponse();
    value.index = signedValue(body.index);
    value.nextOffset = signedValue(body.nextOffset);
    value.sentAtNanos = body.sentAt.count();
    target.__set_snapshotResponse(value);
}

auto setBody(wire::MessageBody &target, const JoinRequest &) -> void
{
    target.__set_joinRequest(wire::JoinRequest());
}

auto appendFromWire(const wire::AppendRequest &value) -> absl::StatusOr<MessageBody>
{
    auto result = AppendRequest{.previousIndex = unsignedValue(value.previousIndex),
                                .previousTerm = unsignedValue(value.previousTerm),
                                .commitIndex = unsignedValue(value.commitIndex),
                                .sentAt = Duration(value.sentAtNanos),
                                .entries = {}};
    for (const auto &entry : value.entries) {
        auto converted = fromWire(entry);
        if (!converted.ok())
            return converted.status();
        result.entries.push_back(std::move(*converted));
    }
    return MessageBody(std::move(result));
}

auto appendResponseFromWire(const wire::AppendResponse &value) -> MessageBody
{
    return AppendResponse{value.accepted, unsignedValue(value.matchIndex),
                          unsignedValue(value.retryFrom), Duration(value.sentAtNanos)};
}

auto snapshotFromWire(const wire::SnapshotRequest &value) -> MessageBody
{
    return SnapshotRequest{.index = unsignedValue(value.index),
                           .term = unsignedValue(value.term),
                           .configuration = configurationFromWire(value.configuration),
                           .offset = unsignedValue(value.offset),
                           .chunk = value.chunk,
                           .last = value.last,
                           .sentAt = Duration(value.sentAtNanos)};
}

auto snapshotResponseFromWire(const wire::SnapshotResponse &value) -> MessageBody
{
    return SnapshotResponse{unsignedValue(value.index), unsignedValue(value.nextOffset),
                            Duration(value.sentAtNanos)};
}

} // namespace

auto bodyToWire(const MessageBody &body) -> wire::MessageBody
{
    auto result = wire::MessageBody();
    std::visit([&](const auto &value) { setBody(result, value); }, body);
    return result;
}

auto bodyFromWire(const wire::MessageBody &body) -> absl::StatusOr<MessageBody>
{
    const auto &set = body.__isset;
    if (set.voteRequest) {
        return MessageBody(VoteRequest{body.voteRequest.preVote,
                                       unsignedValue(body.voteRequest.lastIndex),
                                       unsignedValue(body.voteRequest.lastTerm)});
    }
    if (set.voteResponse)
        return MessageBody(VoteResponse{body.voteResponse.preVote, body.voteResponse.granted});
    if (set.appendRequest)
        return appendFromWire(body.appendRequest);
    if (set.appendResponse)
        return appendResponseFromWire(body.appendResponse);
    if (set.snapshotRequest)
        return snapshotFromWire(body.snapshotRequest);
    if (set.snapshotResponse)
        return snapshotResponseFromWire(body.snapshotResponse);
    if (set.joinRequest)
        return MessageBody(JoinRequest());
    return absl::DataLossError("the type of a consensus message is not known");
}

} // namespace auburnrail::detail
