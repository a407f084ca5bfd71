#include <wire/ConsensusCodec.h>

#include "ConsensusConverter.h"
#include "WireLimits.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cstdint>
#include <memory>

namespace auburnrail {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

template <typename T>
auto encode(const T &value) -> std::string
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    auto protocol = TCompactProtocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// Decodes the generated type `W` and converts it to the domain.
template <typename W>
auto decode(const std::string &bytes) -> decltype(detail::fromWire(W()))
{
    auto value = W();
    try {
        auto buffer = std::make_shared<TMemoryBuffer>();
        buffer->write(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                      static_cast<std::uint32_t>(bytes.size()));
        // An item takes at least a byte, so no list is longer than the bytes that hold it.
        const auto itemLimit = std::min<std::size_t>(bytes.size() + 1, detail::MAX_CONTAINER_ITEMS);
        auto protocol =
            TCompactProtocol(buffer, detail::NO_STRING_LIMIT, static_cast<std::int32_t>(itemLimit));
        value.read(&protocol);
    } catch (const std::exception &error) {
        return absl::DataLossError(std::string("can't decode a consensus value: ") + error.what());
    }
    return detail::fromWire(value);
}

} // namespace

auto encodeEntry(const LogEntry &entry) -> std::string
{
    return encode(detail::toWire(entry));
}

auto decodeEntry(const std::string &bytes) -> absl::StatusOr<LogEntry>
{
    return decode<wire::LogEntry>(bytes);
}

auto encodeConsensusSnapshot(const Snapshot &snapshot) -> std::string
{
    return encode(detail::toWire(snapshot));
}

auto decodeConsensusSnapshot(const std::string &bytes) -> absl::StatusOr<Snapshot>
{
    return decode<wire::Snapshot>(bytes);
}

auto encodeMessage(const Message &message) -> std::string
{
    return encode(detail::toWire(message));
}

auto decodeMessage(const std::string &bytes) -> absl::StatusOr<Message>
{
    return decode<wire::Message>(bytes);
}

} // namespace auburnrail
