#include <session/SessionTokenCodec.h>

#include <SessionTokenBytes.h>

#include <absl/strings/escaping.h>

#include <Poco/Crypto/Cipher.h>
#include <Poco/Crypto/CipherFactory.h>
#include <Poco/Crypto/CipherKey.h>
#include <Poco/Crypto/CryptoTransform.h>
#include <Poco/Crypto/OpenSSLInitializer.h>
#include <Poco/Exception.h>
#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

#include <cassert>
#include <vector>

namespace auburnrail {

namespace {

constexpr auto KEY_LABEL = "auburnrail session token 1";
constexpr auto CIPHER_NAME = "aes-256-gcm";
constexpr auto NONCE_BYTES = std::size_t{12};
constexpr auto TAG_BYTES = std::size_t{16};
/// Longer untrusted input is refused before it is decoded. Large enough for MAX_GROUPS groups with
/// names of 255 bytes, in base64.
constexpr auto MAX_TEXT_BYTES = std::size_t{24576};

/// SHA-256 with the constants that Poco::HMACEngine requires.
class Sha256Engine : public Poco::SHA2Engine
{
public:
    static constexpr auto BLOCK_SIZE = 64; // In bytes; HMACEngine uses both constants.
    static constexpr auto DIGEST_SIZE = 32;

    Sha256Engine()
        : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256)
    {
    }
};

auto deriveKey(std::string_view secret) -> std::string
{
    auto engine = Poco::HMACEngine<Sha256Engine>(std::string(secret));
    engine.update(std::string(KEY_LABEL));
    const auto &digest = engine.digest();
    return {digest.begin(), digest.end()};
}

auto generateNonce(const RandomSource &random) -> std::string
{
    auto nonce = std::string();
    while (nonce.size() < NONCE_BYTES) {
        const auto value = random();
        for (auto i = 0U; i < sizeof(value) && nonce.size() < NONCE_BYTES; ++i)
            nonce += static_cast<char>(static_cast<unsigned char>(value >> (8U * i)));
    }
    return nonce;
}

auto makeCipher(const std::string &key, std::string_view nonce) -> Poco::Crypto::Cipher::Ptr
{
    auto cipherKey = Poco::Crypto::CipherKey(
        CIPHER_NAME, Poco::Crypto::CipherKey::ByteVec(key.begin(), key.end()),
        Poco::Crypto::CipherKey::ByteVec(nonce.begin(), nonce.end()));
    return Poco::Crypto::CipherFactory::defaultFactory().createCipher(cipherKey);
}

/// Runs `input` through `transform`. For a decryptor, `finalize` verifies the authentication tag
/// and throws when it does not match.
auto transformAll(Poco::Crypto::CryptoTransform &transform, std::string_view input) -> std::string
{
    auto buffer = std::vector<unsigned char>(input.size() + transform.blockSize() + TAG_BYTES);
    const auto source = std::vector<unsigned char>(input.begin(), input.end());
    auto written = transform.transform(source.data(), static_cast<std::streamsize>(source.size()),
                                       buffer.data(), static_cast<std::streamsize>(buffer.size()));
    written += transform.finalize(buffer.data() + written,
                                  static_cast<std::streamsize>(buffer.size()) - written);
    return {buffer.begin(), buffer.begin() + written};
}

} // namespace

SessionTokenCodec::SessionTokenCodec(std::string_view clusterSecret, RandomSource random)
    : cryptoLibrary(std::make_shared<Poco::Crypto::OpenSSLInitializer>())
    , key(deriveKey(clusterSecret))
    , random(std::move(random))
{
    assert(!clusterSecret.empty() && "the cluster secret is empty");
}

auto SessionTokenCodec::seal(const SessionToken &token) const -> std::string
{
    if (token.organisation.size() > detail::MAX_NAME_BYTES)
        return {};
    const auto nonce = generateNonce(this->random);
    auto cipher = makeCipher(this->key, nonce);
    auto encryptor = cipher->createEncryptor();
    const auto sealed = transformAll(*encryptor, detail::encodeTokenBytes(token));
    return absl::WebSafeBase64Escape(nonce + encryptor->getTag(TAG_BYTES) + sealed);
}

auto SessionTokenCodec::open(std::string_view text, std::string_view organisation,
                             std::chrono::sys_seconds now) const -> std::optional<SessionToken>
{
    auto bytes = std::string();
    if (text.empty() || text.size() > MAX_TEXT_BYTES
        || !absl::WebSafeBase64Unescape(absl::string_view(text.data(), text.size()), &bytes)
        || bytes.size() < NONCE_BYTES + TAG_BYTES) {
        return std::nullopt;
    }
    const auto view = std::string_view(bytes);
    auto plain = std::string();
    try {
        auto cipher = makeCipher(this->key, view.substr(0, NONCE_BYTES));
        auto decryptor = cipher->createDecryptor();
        decryptor->setTag(std::string(view.substr(NONCE_BYTES, TAG_BYTES)));
        plain = transformAll(*decryptor, view.substr(NONCE_BYTES + TAG_BYTES));
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
    auto token = detail::decodeTokenBytes(plain);
    if (!token || token->organisation != organisation
        || now - token->issuedAt > TOKEN_LIFETIME_HOURS) {
        return std::nullopt;
    }
    return token;
}

} // namespace auburnrail
