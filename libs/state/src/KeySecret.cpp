#include <state/KeySecret.h>

#include "Sha256Engine.h"

#include <Poco/DigestEngine.h>
#include <Poco/HMACEngine.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace auburnrail {

namespace {

constexpr auto KEY_PREFIX = std::string_view("ar_");
constexpr auto SECRET_WORDS = 4; // 256 bits

} // namespace

auto makeKey(const RandomSource &random, const std::string &clusterSecret) -> NewKey
{
    auto key = NewKey{.id = absl::StrFormat("%016x", random())};
    key.text = absl::StrCat(std::string(KEY_PREFIX), key.id, "_");
    for (auto word = 0; word < SECRET_WORDS; ++word)
        key.text += absl::StrFormat("%016x", random());
    key.hash = hashKey(key.text, clusterSecret);
    return key;
}

auto hashKey(std::string_view keyText, const std::string &clusterSecret) -> std::string
{
    auto engine = Poco::HMACEngine<detail::Sha256Engine>(clusterSecret);
    engine.update(keyText.data(), keyText.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

auto keyIdOf(std::string_view keyText) -> std::optional<std::string>
{
    if (!keyText.starts_with(KEY_PREFIX))
        return std::nullopt;
    const auto rest = keyText.substr(KEY_PREFIX.size());
    const auto separator = rest.rfind('_');
    if (separator == std::string_view::npos || separator == 0 || separator + 1 == rest.size())
        return std::nullopt;
    return std::string(rest.substr(0, separator));
}

auto equalInConstantTime(std::string_view left, std::string_view right) -> bool
{
    if (left.size() != right.size())
        return false;
    auto difference = 0U;
    for (auto index = std::size_t(0); index < left.size(); ++index) {
        difference |=
            static_cast<unsigned char>(left[index]) ^ static_cast<unsigned char>(right[index]);
    }
    return difference == 0;
}

} // namespace auburnrail
