#ifndef AUBURNRAIL_STORAGE_ENCODING_H
#define AUBURNRAIL_STORAGE_ENCODING_H

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace auburnrail::detail {

/// CRC-32 of `data`.
[[nodiscard]] auto checksum(std::string_view data) -> std::uint32_t;

/// Append a little-endian integer to `target`, or read one at `offset` of `source`, which must be
/// long enough.
auto appendUint32(std::string &target, std::uint32_t value) -> void;
auto appendUint64(std::string &target, std::uint64_t value) -> void;
[[nodiscard]] auto readUint32(std::string_view source, std::size_t offset) -> std::uint32_t;
[[nodiscard]] auto readUint64(std::string_view source, std::size_t offset) -> std::uint64_t;

/// Returns the content of a file: `magic` (8 bytes), length of the body, checksum of the body, and
/// the body.
[[nodiscard]] auto encodeFile(std::string_view magic, std::string_view body) -> std::string;

/// Verifies the content of a file made by encodeFile and returns its body. `kDataLoss` with `path`
/// and the offset if it is damaged.
[[nodiscard]] auto decodeFile(std::string_view magic, std::string_view content,
                              const std::string &path) -> absl::StatusOr<std::string>;

/// `kDataLoss` error that contains the file name and the offset.
[[nodiscard]] auto dataLossAt(const std::string &path, std::size_t offset, std::string_view reason)
    -> absl::Status;

} // namespace auburnrail::detail

#endif
