#include <core/LockRank.h>
#include <core/Outcome.h>
#include <core/ReasonCode.h>

#include <catch2/catch.hpp>

#include <set>

namespace auburnrail {

// Guards against two values that share a name, which would make parsed values ambiguous.
TEMPLATE_TEST_CASE("names of an enumeration are unique and parse back", "", Outcome, ReasonCode,
                   LockRank)
{
    auto names = std::set<std::string_view>();
    for (const auto &row : ENUM_NAMES<TestType>) {
        CHECK(names.insert(row.name).second);
        CHECK(parseName<TestType>(row.name) == row.value);
        CHECK(nameOf(row.value) == row.name);
    }
    CHECK_FALSE(parseName<TestType>("no such name").has_value());
}

// Guards against an enumerator added without its row.
TEST_CASE("every reason code has a name")
{
    CHECK(ENUM_NAMES<ReasonCode>.size() == static_cast<std::size_t>(ReasonCode::InternalError) + 1);
    CHECK(ENUM_NAMES<LockRank>.size() == static_cast<std::size_t>(LockRank::Log) + 1);
}

} // namespace auburnrail
