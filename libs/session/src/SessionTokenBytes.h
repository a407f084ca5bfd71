#ifndef AUBURNRAIL_SESSION_SESSIONTOKENBYTES_H
#define AUBURNRAIL_SESSION_SESSIONTOKENBYTES_H

#include <session/SessionToken.h>

#include <optional>
#include <string>
#include <string_view>

namespace auburnrail::detail {

/// Longest organisation or group name in a token, in bytes. A length is encoded in one byte.
inline constexpr auto MAX_NAME_BYTES = std::size_t{255};

/// Binary form of a token: version (1 byte), issue time in seconds (8), organisation, number of
/// groups (1), then for each group its name, term (8) and index (8). A name is preceded by its
/// length (1); integers are little-endian.
[[nodiscard]] auto encodeTokenBytes(const SessionToken &token) -> std::string;

/// Returns std::nullopt when `bytes` is not exactly one token of this version.
[[nodiscard]] auto decodeTokenBytes(std::string_view bytes) -> std::optional<SessionToken>;

} // namespace auburnrail::detail

#endif
