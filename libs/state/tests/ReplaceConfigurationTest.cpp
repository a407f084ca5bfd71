#include "CommandBuilder.h"

#include <state/AuthoriseSession.h>
#include <state/CheckConfiguration.h>
#include <state/KeySecret.h>

#include <catch2/catch.hpp>

namespace auburnrail {

namespace {

constexpr auto SECRET = "secret of the test cluster";

auto keyOf(const std::string &text, const std::string &organisation) -> Key
{
    return Key{.id = documentKeyId(text, SECRET),
               .organisation = organisation,
               .hash = hashKey(text, SECRET)};
}

auto routeTo(const std::string &database, bool open = false) -> Route
{
    auto findings = Findings();
    auto route = Route{.name = "route-" + database, .service = "s", .open = open};
    if (!open)
        route.selector = Selector::parse("managed-by=document", "selector", findings);
    route.sessions =
        SessionPolicy{.database = database, .statementTimeout = std::chrono::seconds(1)};
    return route;
}

auto configuration(std::uint64_t version) -> ReplaceConfiguration
{
    return ReplaceConfiguration{
        .document = {.version = version, .text = "text " + std::to_string(version)},
        .objects = {Service{.name = "s", .group = "g"},
                    Organisation{.name = "o", .ratePerSecond = 5, .burst = 5}, keyOf("k1", "o"),
                    routeTo("db")}};
}

auto apply(FleetState &state, CommandBody body) -> CommandResult
{
    const auto index = state.revision() + 1;
    return applyCommand(state, command("c" + std::to_string(index), std::move(body)), index);
}

auto documentOf(const FleetState &state) -> const ConfigurationDocument *
{
    return state.objects().find<ConfigurationDocument>(ConfigurationDocument::NAME);
}

} // namespace

// Guards against a return to an older configuration, and against the refusal of a resent one.
TEST_CASE("the highest version of a configuration is in force")
{
    auto state = FleetState();
    CHECK(apply(state, configuration(7)).status == CommandStatus::Applied);
    const auto first = documentOf(state)->changedAt;
    auto other = configuration(7);
    other.document.text = "other content";
    for (const auto &late : {configuration(7), configuration(3), other}) {
        const auto result = apply(state, late);
        CHECK(result.status == CommandStatus::Applied);
        CHECK(result.revision == first);
        CHECK(documentOf(state)->text == "text 7");
    }
    CHECK(apply(state, configuration(8)).status == CommandStatus::Applied);
    CHECK(documentOf(state)->text == "text 8");
}

TEST_CASE("a configuration replaces what the previous one defined, and nothing else")
{
    auto state = FleetState();
    REQUIRE(apply(state, SetObject{Service{.name = "own", .group = "g2"}}).status
            == CommandStatus::Applied);
    REQUIRE(apply(state, configuration(1)).status == CommandStatus::Applied);
    REQUIRE(apply(state, SetLabel{ObjectKind::Organisation, "o", "tier", "gold"}).status
            == CommandStatus::Applied);
    const auto before = state.revision();
    auto next = configuration(2);
    next.objects[2] = keyOf("k2", "o");
    next.objects[3] = routeTo("db2");
    REQUIRE(apply(state, next).status == CommandStatus::Applied);
    const auto &objects = state.objects();
    CHECK(objects.find<Service>("own") != nullptr);
    CHECK(objects.find<Organisation>("o")->labels.at("tier") == "gold");
    CHECK(objects.find<Key>(documentKeyId("k1", SECRET)) == nullptr);
    CHECK(objects.find<Key>(documentKeyId("k2", SECRET)) != nullptr);
    CHECK(objects.routeOfDatabase("db") == nullptr);
    CHECK(objects.routeOfDatabase("db2") != nullptr);
    // Unchanged objects cause no change; two keys, two routes and the document have changed.
    CHECK(state.changesSince(before)->changes.size() == 5);
}

TEST_CASE("every error of a configuration is reported and it changes nothing")
{
    auto broken = configuration(1);
    auto twin = routeTo("db");
    twin.name = "another";
    twin.service = "nowhere";
    twin.sessions->statementTimeout = Duration();
    broken.objects.emplace_back(twin);
    broken.objects.emplace_back(keyOf("k1", "o2"));
    broken.objects.emplace_back(Organisation{.name = "bad", .ratePerSecond = -1});
    const auto text = checkConfiguration(broken).toString();
    for (const auto *part :
         {"unknown service nowhere", "timeout must be positive", "another route serves",
          "unknown organisation o2", "defined twice", "must not be negative"}) {
        INFO(text);
        CHECK(text.find(part) != std::string::npos);
    }
    auto state = FleetState();
    CHECK(apply(state, broken).status == CommandStatus::Invalid);
    CHECK(documentOf(state) == nullptr);
    CHECK(state.objects().find<Service>("s") == nullptr);
}

TEST_CASE("a document is neither set nor deleted by itself")
{
    auto state = FleetState();
    CHECK(apply(state, SetObject{ConfigurationDocument{.version = 1}}).status
          == CommandStatus::Invalid);
    REQUIRE(apply(state, configuration(1)).status == CommandStatus::Applied);
    CHECK(apply(state, DeleteObject{ObjectKind::Document, ConfigurationDocument::NAME}).status
          == CommandStatus::InUse);
}

TEST_CASE("operations are authorised by the current key and route")
{
    auto state = FleetState();
    auto first = configuration(1);
    first.objects.emplace_back(routeTo("free", true));
    REQUIRE(apply(state, first).status == CommandStatus::Applied);
    const auto &objects = state.objects();
    const auto key = findKeyId(objects, "k1", SECRET);
    REQUIRE(key);
    CHECK_FALSE(findKeyId(objects, "k1x", SECRET));
    CHECK(std::get<OperationAuthorisation>(authoriseOperation(objects, "db", key)).organisation
          == "o");
    CHECK(std::get<ReasonCode>(authoriseOperation(objects, "db", std::nullopt))
          == ReasonCode::KeyUnknown);
    CHECK(std::get<OperationAuthorisation>(authoriseOperation(objects, "free", std::nullopt))
              .organisation.empty());
    CHECK(std::get<ReasonCode>(authoriseOperation(objects, "none", key))
          == ReasonCode::UnknownService);
    auto second = configuration(2);
    second.objects[2] = keyOf("k2", "o");
    REQUIRE(apply(state, second).status == CommandStatus::Applied);
    CHECK(std::get<ReasonCode>(authoriseOperation(state.objects(), "db", key))
          == ReasonCode::KeyWithdrawn);
}

TEST_CASE("a primary is adopted only before the group has had a term")
{
    auto state = FleetState();
    for (const auto *name : {"e1", "e2"}) {
        REQUIRE(apply(state, SetObject{Endpoint{.name = name,
                                                .group = "g",
                                                .zone = "z",
                                                .address = std::string("127.0.0.1:") + name[1]}})
                    .status
                == CommandStatus::Applied);
    }
    CHECK(apply(state, AdoptPrimary{"g", "nobody"}).status == CommandStatus::NotFound);
    CHECK(apply(state, AdoptPrimary{"g", "e1"}).status == CommandStatus::Applied);
    CHECK(state.objects().find<Group>("g")->primary == "e1");
    CHECK(state.objects().find<Group>("g")->term == 1);
    CHECK(apply(state, AdoptPrimary{"g", "e2"}).status == CommandStatus::WrongTerm);
}

} // namespace auburnrail
