#ifndef AUBURNRAIL_WIRE_COMPACTREADER_H
#define AUBURNRAIL_WIRE_COMPACTREADER_H

#include "DecodeFault.h"

#include <absl/status/statusor.h>
#include <absl/strings/str_cat.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <exception>
#include <limits>
#include <memory>
#include <string>

namespace auburnrail::detail {

/// Reads Thrift structs one after another from memory. Announced sizes beyond the bytes are refused
/// before anything is allocated for them. Faults are exceptions; see decodeBytes().
class CompactReader
{
public:
    /// `bytes` must outlive the reader.
    explicit CompactReader(const std::string &bytes)
        : buffer(makeBuffer(bytes))
        , protocol(this->buffer, limitOf(bytes), limitOf(bytes))
    {
    }

    template <typename T>
    [[nodiscard]] auto read() -> T
    {
        auto value = T();
        value.read(&this->protocol);
        return value;
    }

    auto requireEnd() -> void
    {
        if (this->buffer->available_read() != 0)
            throw DecodeFault("bytes follow the end");
    }

private:
    using Buffer = apache::thrift::transport::TMemoryBuffer;

    /// 0 would mean no limit.
    static auto limitOf(const std::string &bytes) -> std::int32_t
    {
        return static_cast<std::int32_t>(std::max<std::size_t>(1, bytes.size()));
    }

    static auto makeBuffer(const std::string &bytes) -> std::shared_ptr<Buffer>
    {
        if (bytes.size() > static_cast<std::size_t>(std::numeric_limits<std::int32_t>::max()))
            throw DecodeFault("is longer than 2 GiB");
        // The buffer only observes the bytes; Thrift has no constructor for constant ones.
        auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
        return std::make_shared<Buffer>(
            data, static_cast<std::uint32_t>(bytes.size()), Buffer::OBSERVE,
            std::make_shared<apache::thrift::TConfiguration>(limitOf(bytes)));
    }

    std::shared_ptr<Buffer> buffer;
    apache::thrift::protocol::TCompactProtocolT<Buffer> protocol;
};

/// Result of `decode(reader)` over all of `bytes`, or `kDataLoss` naming `what`.
template <typename Decode>
[[nodiscard]] auto decodeBytes(const char *what, const std::string &bytes, const Decode &decode)
    -> absl::StatusOr<decltype(decode(std::declval<CompactReader &>()))>
{
    try {
        auto reader = CompactReader(bytes);
        auto result = decode(reader);
        reader.requireEnd();
        return result;
    } catch (const std::exception &error) {
        return absl::DataLossError(absl::StrCat("damaged ", what, ": ", error.what()));
    }
}

} // namespace auburnrail::detail

#endif
