#include <session/SessionTokenCodec.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto NOW = std::chrono::sys_seconds(1'000'000s);

auto makeToken() -> SessionToken
{
    auto token = SessionToken{.organisation = "shed", .groups = {}, .issuedAt = NOW};
    token.record("readings", {.term = 3, .index = 40});
    return token;
}

} // namespace

// Guards read-your-writes across entries: an entry must accept the tokens of every other entry.
TEST_CASE("a token sealed by one codec opens with another codec of the same secret")
{
    const auto first = SessionTokenCodec("secret", makeSeededRandom(1));
    const auto second = SessionTokenCodec("secret", makeSeededRandom(2));
    const auto text = first.seal(makeToken());
    const auto opened = second.open(text, "shed", NOW + 1h);
    REQUIRE(opened);
    CHECK(opened->positionOf("readings") == Position{.term = 3, .index = 40});
    CHECK_FALSE(opened->positionOf("turns"));
    CHECK(text != first.seal(makeToken()));
}

// Guards against reads that rely on an outdated or forged position. Such tokens are treated as
// missing.
TEST_CASE("missing, expired, foreign and forged tokens do not open")
{
    const auto codec = SessionTokenCodec("secret", makeSeededRandom(1));
    const auto text = codec.seal(makeToken());
    CHECK_FALSE(codec.open("", "shed", NOW));
    CHECK_FALSE(codec.open("no token", "shed", NOW));
    CHECK_FALSE(codec.open(std::string(100'000, 'A'), "shed", NOW));
    CHECK_FALSE(codec.open(text, "portal", NOW));
    CHECK_FALSE(codec.open(text, "shed", NOW + 25h));
    CHECK_FALSE(SessionTokenCodec("other", makeSeededRandom(1)).open(text, "shed", NOW));
    for (auto i = std::size_t{0}; i < text.size(); ++i) {
        auto forged = text;
        forged[i] = forged[i] == 'A' ? 'B' : 'A';
        INFO("byte " << i);
        CHECK_FALSE(codec.open(forged, "shed", NOW));
        CHECK_FALSE(codec.open(text.substr(0, i), "shed", NOW));
    }
}

// Guards the size limit of the header that carries the token.
TEST_CASE("a token keeps the most recently used groups")
{
    auto token = makeToken();
    for (auto i = 0; i < 63; ++i)
        token.record(std::string(255, static_cast<char>('0' + i)), {.term = 1, .index = 1});
    token.record("readings", {.term = 2, .index = 90});
    token.record("one more", {.term = 1, .index = 1});
    CHECK(token.groups.size() == SessionToken::MAX_GROUPS);
    CHECK(token.positionOf("readings") == Position{.term = 3, .index = 40});
    const auto codec = SessionTokenCodec("secret", makeSeededRandom(1));
    CHECK(codec.open(codec.seal(token), "shed", NOW)->groups.size() == SessionToken::MAX_GROUPS);
}

} // namespace auburnrail
