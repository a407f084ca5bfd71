#include <wire/RelayEncoding.h>

#include "CompactReader.h"
#include "CompactWriter.h"
#include "RelayConversion.h"

#include <relay/RelayTiming.h>

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>

#include <cstdint>

namespace auburnrail {

namespace {

constexpr auto LENGTH_BYTES = std::size_t(4);
constexpr auto BITS_PER_BYTE = 8U;

auto encode(const RelayMessage &message) -> std::string
{
    auto writer = detail::CompactWriter();
    writer.write(detail::toFrame(message));
    const auto body = writer.bytes();
    auto bytes = std::string();
    bytes.reserve(LENGTH_BYTES + body.size());
    for (auto index = LENGTH_BYTES; index > 0; --index)
        bytes.push_back(static_cast<char>((body.size() >> (BITS_PER_BYTE * (index - 1))) & 0xffU));
    return bytes + body;
}

auto lengthOf(std::string_view bytes) -> std::size_t
{
    auto length = std::size_t(0);
    for (auto index = std::size_t(0); index < LENGTH_BYTES; ++index)
        length = (length << BITS_PER_BYTE) | static_cast<unsigned char>(bytes[index]);
    return length;
}

auto decode(std::string_view bytes) -> absl::StatusOr<std::optional<RelayInput>>
{
    if (bytes.size() < LENGTH_BYTES)
        return std::optional<RelayInput>();
    const auto length = lengthOf(bytes);
    if (length > RELAY_MAX_MESSAGE_BYTES)
        return absl::DataLossError(absl::StrCat("a message of ", length, " bytes is too long"));
    if (bytes.size() < LENGTH_BYTES + length)
        return std::optional<RelayInput>();
    auto message =
        detail::decodeBytes("message of an entry", std::string(bytes.substr(LENGTH_BYTES, length)),
                            [](detail::CompactReader &reader) {
                                return detail::fromFrame(reader.read<thriftgen::RelayFrame>());
                            });
    if (!message.ok())
        return message.status();
    return std::optional(
        RelayInput{.message = *std::move(message), .bytes = LENGTH_BYTES + length});
}

} // namespace

auto makeRelayCodec() -> RelayCodec
{
    return RelayCodec{.encode = encode, .decode = decode};
}

} // namespace auburnrail
