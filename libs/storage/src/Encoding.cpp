#include "Encoding.h"

#include <absl/strings/str_cat.h>

#include <Poco/ByteOrder.h>
#include <Poco/Checksum.h>

#include <cassert>
#include <cstring>

namespace auburnrail::detail {

namespace {

constexpr auto MAGIC_BYTES = std::size_t(8);
constexpr auto HEADER_BYTES = MAGIC_BYTES + 8 + 4;

template <typename T>
auto appendValue(std::string &target, T value) -> void
{
    const auto ordered = Poco::ByteOrder::toLittleEndian(value);
    auto bytes = std::string(sizeof(ordered), '\0');
    std::memcpy(bytes.data(), &ordered, sizeof(ordered));
    target += bytes;
}

template <typename T>
auto readValue(std::string_view source, std::size_t offset) -> T
{
    assert(offset + sizeof(T) <= source.size() && "the source must hold the integer");
    auto value = T();
    std::memcpy(&value, source.data() + offset, sizeof(value));
    return Poco::ByteOrder::fromLittleEndian(value);
}

} // namespace

auto checksum(std::string_view data) -> std::uint32_t
{
    auto sum = Poco::Checksum(Poco::Checksum::TYPE_CRC32);
    sum.update(data.data(), static_cast<unsigned int>(data.size()));
    return sum.checksum();
}

auto appendUint32(std::string &target, std::uint32_t value) -> void
{
    appendValue(target, Poco::UInt32(value));
}

auto appendUint64(std::string &target, std::uint64_t value) -> void
{
    appendValue(target, Poco::UInt64(value));
}

auto readUint32(std::string_view source, std::size_t offset) -> std::uint32_t
{
    return readValue<Poco::UInt32>(source, offset);
}

auto readUint64(std::string_view source, std::size_t offset) -> std::uint64_t
{
    return readValue<Poco::UInt64>(source, offset);
}

auto encodeFile(std::string_view magic, std::string_view body) -> std::string
{
    assert(magic.size() == MAGIC_BYTES && "magic must have 8 bytes");
    auto content = std::string(magic);
    appendUint64(content, body.size());
    appendUint32(content, checksum(body));
    content += body;
    return content;
}

auto decodeFile(std::string_view magic, std::string_view content, const std::string &path)
    -> absl::StatusOr<std::string>
{
    if (content.size() < HEADER_BYTES)
        return dataLossAt(path, content.size(), "the header is incomplete");
    if (content.substr(0, MAGIC_BYTES) != magic)
        return dataLossAt(path, 0, "the file type is wrong");
    const auto body = content.substr(HEADER_BYTES);
    if (readUint64(content, MAGIC_BYTES) != body.size())
        return dataLossAt(path, MAGIC_BYTES, "the length does not match the file");
    if (readUint32(content, MAGIC_BYTES + 8) != checksum(body))
        return dataLossAt(path, HEADER_BYTES, "the checksum does not match");
    return std::string(body);
}

auto dataLossAt(const std::string &path, std::size_t offset, std::string_view reason)
    -> absl::Status
{
    return absl::DataLossError(absl::StrCat(path, ": offset ", offset, ": ",
                                            absl::string_view(reason.data(), reason.size())));
}

} // namespace auburnrail::detail
