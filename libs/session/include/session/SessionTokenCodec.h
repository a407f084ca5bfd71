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

/// Seals session tokens with AES-256-GCM and encodes them as base64url without padding. The key is
/// HMAC-SHA256 of a fixed label under the cluster secret, so that every entry opens every token.
/// Safe from any thread when its random source is.
class SessionTokenCodec
{
public:
    /// Age from which a token is treated as lost.
    static constexpr auto TOKEN_LIFETIME_HOURS = std::chrono::hours(24);

    /// `random` draws the nonces and has to be cryptographically secure outside tests.
    SessionTokenCodec(std::string_view clusterSecret, RandomSource random);

    /// Opaque text of `token`. Names of more than 255 bytes are left out.
    [[nodiscard]] auto seal(const SessionToken &token) const -> std::string;

    /// The token in `text`, or nothing when it is empty, forged, damaged, of another organisation
    /// or older than TOKEN_LIFETIME_HOURS.
    [[nodiscard]] auto open(std::string_view text, std::string_view organisation,
                            std::chrono::sys_seconds now) const -> std::optional<SessionToken>;

private:
    /// Keeps OpenSSL initialised: Poco's ciphers unload its providers when the last one goes, which
    /// crashes a thread that is creating another.
    std::shared_ptr<const void> cryptoLibrary;
    std::string key;
    RandomSource random;
};

} // namespace auburnrail

#endif
