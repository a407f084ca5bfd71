#include <state/ChangeJournal.h>

#include <catch2/catch.hpp>

namespace auburnrail {

namespace {

auto documentChange(Revision revision, const std::string &name, std::size_t bytes) -> FleetChange
{
    return {revision, ObjectKind::Document, name,
            ConfigurationDocument{.name = name, .text = std::string(bytes, 'x')}};
}

} // namespace

// Guards against members that keep the text of every configuration that was ever in force.
TEST_CASE("the journal keeps one text of a document that changes again and again")
{
    auto journal = ChangeJournal();
    for (auto revision = Revision(1); revision <= 500; ++revision)
        journal.append(documentChange(revision, "d", 1000));
    const auto changes = journal.since(0, {});
    REQUIRE(changes);
    REQUIRE(changes->size() == 1);
    CHECK(changes->front().revision == 500);
    CHECK(journal.size() == 1);
}

TEST_CASE("changes are listed from the oldest on, each object once")
{
    auto journal = ChangeJournal();
    journal.append(documentChange(1, "a", 1));
    journal.append(documentChange(2, "b", 1));
    journal.append(documentChange(3, "a", 1));
    const auto changes = journal.since(0, {});
    REQUIRE(changes);
    REQUIRE(changes->size() == 2);
    CHECK(changes->front().name == "b");
    CHECK(changes->back().name == "a");
    CHECK(journal.since(2, {})->size() == 1);
    CHECK(journal.since(3, {})->empty());
}

TEST_CASE("a reader from before a dropped change needs a snapshot")
{
    auto journal = ChangeJournal();
    constexpr auto count = ChangeJournal::CAPACITY_CHANGES + 1;
    for (auto revision = Revision(1); revision <= count; ++revision)
        journal.append(documentChange(revision, std::to_string(revision), 1));
    CHECK_FALSE(journal.since(0, {}));
    CHECK(journal.since(1, {})->size() == ChangeJournal::CAPACITY_CHANGES);
}

} // namespace auburnrail
