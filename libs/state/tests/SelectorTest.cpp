#include <state/Selector.h>

#include <catch2/catch.hpp>

#include <tuple>

namespace auburnrail {

namespace {

using Row = std::tuple<const char *, bool>;
using FaultRow = std::tuple<const char *, std::vector<const char *>>;

} // namespace

// Guards against a rule that reaches organisations outside its selector, or misses some inside.
TEST_CASE("a selector matches labels")
{
    const auto labels = Labels{{"tier", "gold"}, {"region", "coast"}};
    const auto [text, expected] = GENERATE(table<const char *, bool>({
        Row{"", true},
        Row{"tier=gold", true},
        Row{"tier=silver", false},
        Row{"tier!=gold", false},
        Row{"absent!=gold", true},
        Row{" tier in ( silver , gold ) ", true},
        Row{"tier in (silver)", false},
        Row{"tier notin (gold,silver)", false},
        Row{"absent notin (gold)", true},
        Row{"tier", true},
        Row{"absent", false},
        Row{"!tier", false},
        Row{"!absent", true},
        Row{"tier=gold,region=coast", true},
        Row{"tier=gold,region=interior", false},
    }));
    CAPTURE(text);
    auto findings = Findings();
    const auto selector = Selector::parse(text, "test", findings);
    REQUIRE(findings.empty());
    CHECK(selector.matches(labels) == expected);
    CHECK(Selector::parse(selector.toString(), "test", findings) == selector);
}

// Guards against faults that are reported one a run, or at the wrong place.
TEST_CASE("faults of a selector are reported together with their columns")
{
    const auto [text, expected] = GENERATE(table<const char *, std::vector<const char *>>({
        FaultRow{"=gold", {"column 1"}},
        FaultRow{"tier=", {"column 6"}},
        FaultRow{"tier=gold,", {"column 11"}},
        FaultRow{"tier!gold", {"column 6"}},
        FaultRow{"tier in gold", {"column 9"}},
        FaultRow{"tier in (gold", {"column 14"}},
        FaultRow{"tier in ()", {"column 10"}},
        FaultRow{"tier like (x)", {"column 6"}},
        FaultRow{"!tier=gold", {"column 6"}},
        FaultRow{"tier=a b", {"column 8"}},
        FaultRow{"a=,b in (,c),d=$", {"column 3", "column 10", "column 16"}},
    }));
    CAPTURE(text);
    auto findings = Findings();
    (void)Selector::parse(text, "test", findings);
    REQUIRE(findings.all().size() == expected.size());
    for (auto index = std::size_t(0); index < expected.size(); ++index)
        CHECK(findings.all()[index].place.key == expected[index]);
}

} // namespace auburnrail
