#include <state/Selector.h>

#include <catch2/catch.hpp>

#include <string>
#include <tuple>

namespace auburnrail {

namespace {

using Row = std::tuple<const char *, bool>;
using ErrorRow = std::tuple<const char *, std::vector<const char *>>;

} // namespace

// Guards against a selector that matches other organisations, or misses some that it should match.
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

// Guards against errors that are reported one at a time or at the wrong column.
TEST_CASE("all errors of a selector are reported with their columns")
{
    const auto [text, expected] = GENERATE(table<const char *, std::vector<const char *>>({
        ErrorRow{"=gold", {"column 1"}},
        ErrorRow{"tier=", {"column 6"}},
        ErrorRow{"tier=gold,", {"column 11"}},
        ErrorRow{"tier!gold", {"column 6"}},
        ErrorRow{"tier in gold", {"column 9"}},
        ErrorRow{"tier in (gold", {"column 14"}},
        ErrorRow{"tier in ()", {"column 10"}},
        ErrorRow{"tier like (x)", {"column 6"}},
        ErrorRow{"!tier=gold", {"column 6"}},
        ErrorRow{"tier=a b", {"column 8"}},
        ErrorRow{"a=,b in (,c),d=$", {"column 3", "column 10", "column 16"}},
    }));
    CAPTURE(text);
    auto findings = Findings();
    (void)Selector::parse(text, "test", findings);
    REQUIRE(findings.all().size() == expected.size());
    for (auto index = std::size_t(0); index < expected.size(); ++index)
        CHECK(findings.all()[index].place.key == expected[index]);
}

// Guards against a selector that is accepted and then can't be read back: its canonical text has a
// blank before each value list, also where the given text has none.
TEST_CASE("a selector whose canonical text is too long is refused")
{
    const auto [terms, accepted] = GENERATE(table<int, bool>({
        std::tuple(455, true),
        std::tuple(456, false),
    }));
    CAPTURE(terms);
    auto text = std::string("a in(b)");
    for (auto term = 1; term < terms; ++term)
        text += ",a in(b)";
    REQUIRE(text.size() <= 4096);
    auto findings = Findings();
    const auto selector = Selector::parse(text, "test", findings);
    REQUIRE(findings.empty() == accepted);
    if (accepted)
        CHECK(Selector::parse(selector.toString(), "test", findings) == selector);
    CHECK(findings.empty() == accepted);
}

} // namespace auburnrail
