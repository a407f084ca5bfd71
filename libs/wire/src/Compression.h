#ifndef AUBURNRAIL_WIRE_COMPRESSION_H
#define AUBURNRAIL_WIRE_COMPRESSION_H

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>

namespace auburnrail::detail {

/// Compresses `bytes` in the zlib format.
[[nodiscard]] auto compress(const std::string &bytes) -> std::string;

/// Inverse of compress() for a result of `size` bytes. `kDataLoss` if `bytes` are damaged or don't
/// have this size decompressed.
[[nodiscard]] auto decompress(const std::string &bytes, std::size_t size)
    -> absl::StatusOr<std::string>;

} // namespace auburnrail::detail

#endif
