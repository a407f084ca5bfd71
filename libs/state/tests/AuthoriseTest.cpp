#include "CommandBuilder.h"

#include <state/Authorise.h>
#include <state/KeySecret.h>

#include <catch2/catch.hpp>

namespace auburnrail {

namespace {

constexpr auto SECRET = "cluster";

struct Case
{
    const char *name;
    std::string service;
    std::string key;
    std::variant<Authorisation, ReasonCode> expected;
};

auto textOf(const std::variant<Authorisation, ReasonCode> &result) -> std::string
{
    if (const auto *reason = std::get_if<ReasonCode>(&result); reason != nullptr)
        return std::string(nameOf(*reason));
    const auto &granted = std::get<Authorisation>(result);
    return granted.organisation + (granted.isolatedReads ? "/isolated" : "");
}

} // namespace

// Guards against a hash that no other program of the cluster computes (RFC 4231, test case 2).
TEST_CASE("keys are hashed by HMAC-SHA256")
{
    CHECK(hashKey("what do ya want for nothing?", "Jefe")
          == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
    CHECK(keyIdOf("ar_a_b_secret") == "a_b");
    for (const auto *text : {"", "ar_", "ar_id", "ar_id_", "ar__s", "xx_id_s"})
        CHECK_FALSE(keyIdOf(text).has_value());
    CHECK(equalInConstantTime("abc", "abc"));
    CHECK_FALSE(equalInConstantTime("abc", "abd"));
    CHECK_FALSE(equalInConstantTime("abc", "abcd"));
}

// Guards against requests that run for the wrong organisation, with a withdrawn key, or outside the
// routes of a service.
TEST_CASE("a request runs only on behalf of its key's organisation, where a route permits it")
{
    const auto random = makeSeededRandom(1);
    const auto gold = makeKey(random, SECRET);
    const auto plain = makeKey(random, SECRET);
    const auto ended = makeKey(random, SECRET);
    auto findings = Findings();
    const auto selector = Selector::parse("tier=gold", "", findings);
    auto state = FleetState();
    auto index = Revision(0);
    for (const auto &body : std::vector<CommandBody>{
             SetObject{Organisation{.name = "gold", .burst = 1, .labels = {{"tier", "gold"}}}},
             SetObject{Organisation{.name = "plain", .burst = 1}},
             SetObject{Key{.id = gold.id, .organisation = "gold", .hash = gold.hash}},
             SetObject{Key{.id = plain.id, .organisation = "plain", .hash = plain.hash}},
             SetObject{Key{.id = ended.id, .organisation = "gold", .hash = ended.hash}},
             WithdrawKey{ended.id}, SetObject{Service{.name = "closed", .group = "g"}},
             SetObject{Service{.name = "open", .group = "g"}},
             SetObject{Service{.name = "unrouted", .group = "g"}},
             SetObject{Route{.name = "1", .service = "closed", .selector = selector}},
             SetObject{
                 Route{.name = "2", .service = "open", .open = true, .isolatedReads = true}}}) {
        ++index;
        REQUIRE(applyCommand(state, command("c" + std::to_string(index), body), index).status
                == CommandStatus::Applied);
    }
    const auto forged = "ar_" + gold.id + "_" + std::string(64, '0');
    const auto row = GENERATE_COPY(values<Case>({
        {"matching organisation", "closed", gold.text, Authorisation{"gold"}},
        {"other organisation", "closed", plain.text, ReasonCode::RouteDenied},
        {"no key", "closed", "", ReasonCode::KeyMissing},
        {"withdrawn key", "closed", ended.text, ReasonCode::KeyWithdrawn},
        {"forged secret", "closed", forged, ReasonCode::KeyUnknown},
        {"forged secret of a withdrawn key", "closed", "ar_" + ended.id + "_0",
         ReasonCode::KeyUnknown},
        {"no service", "x", gold.text, ReasonCode::UnknownService},
        {"no route", "unrouted", gold.text, ReasonCode::RouteDenied},
        {"open route without a key", "open", "", Authorisation{"", 1, true}},
        {"open route with a key", "open", plain.text, Authorisation{"plain", 1, true}},
        {"open route with a forged key", "open", forged, ReasonCode::KeyUnknown},
        {"open route with a withdrawn key", "open", ended.text, ReasonCode::KeyWithdrawn},
    }));
    CAPTURE(row.name);
    CHECK(textOf(authorise(state.objects(), row.service, row.key, SECRET)) == textOf(row.expected));
}

// Guards against a route that permits every organisation because its selector is empty. Commands
// refuse such a route, but a copy of the state might hold one.
TEST_CASE("a closed route with an empty selector permits nobody")
{
    const auto key = makeKey(makeSeededRandom(1), SECRET);
    auto objects = FleetObjects();
    objects.put(Service{.name = "s", .group = "g"});
    objects.put(Route{.name = "r", .service = "s"});
    objects.put(Organisation{.name = "o"});
    objects.put(Key{.id = key.id, .organisation = "o", .hash = key.hash});
    CHECK(textOf(authorise(objects, "s", key.text, SECRET)) == "route-denied");
}

} // namespace auburnrail
