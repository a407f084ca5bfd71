#ifndef AUBURNRAIL_SESSION_SESSIONTOKENCODEC_H
#define AUBURNRAIL_SESSION_SESSIONTOKENCODEC_H

#include <session/SessionToken.h>

#include <core/RandomSource.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburnrail {

/// Encrypts and authenticates session tokens with AES-256-GCM and encodes them as base64url without
/// padding. The key is HMAC-SHA256 of a fixed label under the cluster secret, so that every entry
/// can open the tokens of all others. Thread-safe if the random source is thread-safe.
class SessionTokenCodec
{
public:
    /// An older token is treated like a missing one.
    static constexpr auto TOKEN_LIFETIME_HOURS = std::chrono::hours(24);

    /// `random` generates the nonces and must be cryptographically secure outside tests.
    SessionTokenCodec(std::string_view clusterSecret, RandomSource random);

    /// Returns `token` as opaque text. Groups with names of more than 255 bytes are left out; the
    /// result is empty when the organisation's name is longer than that.
    [[nodiscard]] auto seal(const SessionToken &token) const -> std::string;

    /// Returns the token in `text`, or std::nullopt when the text is empty, forged or damaged, or
    /// when the token belongs to another organisation or is older than TOKEN_LIFETIME_HOURS.
    [[nodiscard]] auto open(std::string_view text, std::string_view organisation,
                            std::chrono::sys_seconds now) const -> std::optional<SessionToken>;

private:
    /// Keeps OpenSSL initialised. Poco unloads the OpenSSL providers when its last cipher is
    /// destroyed, which crashes a thread that is creating another cipher at that moment.
    std::shared_ptr<const void> cryptoLibrary;
    std::string key;
    RandomSource random;
};

} // namespace auburnrail

#endif
