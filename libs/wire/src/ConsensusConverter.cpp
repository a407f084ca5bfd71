#include "ConsensusConverter.h"

#include "MessageBodyConverter.h"
#include "ScalarConverter.h"

#include <utility>

namespace auburnrail::detail {

auto toWire(const LogEntry &entry) -> wire::LogEntry
{
    auto result = wire::LogEntry();
    result.term = signedValue(entry.term);
    switch (entry.kind) {
    case EntryKind::Noop:
        result.kind = wire::EntryKind::NOOP;
        break;
    case EntryKind::Command:
        result.kind = wire::EntryKind::COMMAND;
        result.__set_payload(entry.payload);
        break;
    case EntryKind::Configuration:
        result.kind = wire::EntryKind::CONFIGURATION;
        result.__set_configuration(configurationToWire(entry.configuration));
        break;
    }
    return result;
}

auto fromWire(const wire::LogEntry &entry) -> absl::StatusOr<LogEntry>
{
    auto result = LogEntry{.term = unsignedValue(entry.term), .payload = entry.payload};
    switch (entry.kind) {
    case wire::EntryKind::NOOP:
        result.kind = EntryKind::Noop;
        return result;
    case wire::EntryKind::COMMAND:
        result.kind = EntryKind::Command;
        return result;
    case wire::EntryKind::CONFIGURATION:
        result.kind = EntryKind::Configuration;
        result.configuration = configurationFromWire(entry.configuration);
        return result;
    }
    return absl::DataLossError("the kind of a log entry is not known");
}

auto toWire(const Snapshot &snapshot) -> wire::Snapshot
{
    auto result = wire::Snapshot();
    result.index = signedValue(snapshot.index);
    result.term = signedValue(snapshot.term);
    result.configuration = configurationToWire(snapshot.configuration);
    result.content = snapshot.content;
    return result;
}

auto fromWire(const wire::Snapshot &snapshot) -> absl::StatusOr<Snapshot>
{
    return Snapshot{unsignedValue(snapshot.index), unsignedValue(snapshot.term),
                    configurationFromWire(snapshot.configuration), snapshot.content};
}

auto toWire(const Message &message) -> wire::Message
{
    auto result = wire::Message();
    result.sender = memberToWire(message.from);
    result.receiver = memberToWire(message.to);
    result.term = signedValue(message.term);
    result.body = bodyToWire(message.body);
    return result;
}

auto fromWire(const wire::Message &message) -> absl::StatusOr<Message>
{
    auto body = bodyFromWire(message.body);
    if (!body.ok())
        return body.status();
    return Message{memberFromWire(message.sender), memberFromWire(message.receiver),
                   unsignedValue(message.term), std::move(*body)};
}

} // namespace auburnrail::detail
