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

/// Little-endian integers at the end of `target`, and at `offset` of `source`, which must hold
/// them.
auto appendUint32(std::string &target, std::uint32_t value) -> void;
auto appendUint64(std::string &target, std::uint64_t value) -> void;
[[nodiscard]] auto readUint32(std::string_view source, std::size_t offset) -> std::uint32_t;
[[nodiscard]] auto readUint64(std::string_view source, std::size_t offset) -> std::uint64_t;

/// A whole file: `magic` (8 bytes), length, checksum and body.
[[nodiscard]] auto sealFile(std::string_view magic, std::string_view body) -> std::string;

/// Body of a file made by sealFile; `kDataLoss` with `path` and the offset when it is damaged.
[[nodiscard]] auto unsealFile(std::string_view magic, std::string_view content,
                              const std::string &path) -> absl::StatusOr<std::string>;

/// `kDataLoss` that names the file and the offset.
[[nodiscard]] auto damagedAt(const std::string &path, std::size_t offset, std::string_view what)
    -> absl::Status;

} // namespace auburnrail::detail

#endif
