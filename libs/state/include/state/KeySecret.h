#ifndef AUBURNRAIL_STATE_KEYSECRET_H
#define AUBURNRAIL_STATE_KEYSECRET_H

#include <state/NewKey.h>

#include <core/RandomSource.h>

#include <optional>
#include <string>
#include <string_view>

namespace auburnrail {

/// Makes a key with a random id and a secret of 256 bits. `random` must be secure.
[[nodiscard]] auto makeKey(const RandomSource &random, const std::string &clusterSecret) -> NewKey;

/// HMAC-SHA256 of the key text under the cluster secret, in 64 hex digits.
[[nodiscard]] auto hashKey(std::string_view keyText, const std::string &clusterSecret)
    -> std::string;

/// Id of a key text of the form `ar_<id>_<secret>`; nothing when it has another form.
[[nodiscard]] auto keyIdOf(std::string_view keyText) -> std::optional<std::string>;

/// Compares in a time that depends on the lengths only, so that a caller can't find a hash by
/// parts.
[[nodiscard]] auto equalInConstantTime(std::string_view left, std::string_view right) -> bool;

} // namespace auburnrail

#endif
