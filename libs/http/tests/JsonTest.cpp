#include <http/JsonReader.h>
#include <http/JsonWriter.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace auburnrail {

TEST_CASE("a written object reads back")
{
    auto writer = JsonWriter();
    writer.text("name", "a \"quoted\" name").integer("count", -3).boolean("on", true);
    writer.labels("labels", {{"tier", "gold"}}).texts("list", {"x", "y"});
    auto reader = JsonReader(writer.toString(), "body");
    CHECK(reader.requiredText("name") == "a \"quoted\" name");
    CHECK(reader.integer("count") == -3);
    CHECK(reader.boolean("on"));
    CHECK(reader.labels("labels") == Labels{{"tier", "gold"}});
    CHECK(reader.texts("list") == std::vector<std::string>{"x", "y"});
    CHECK(reader.findings().empty());
}

TEST_CASE("faults of a JSON body are collected with the member's path")
{
    auto reader = JsonReader(R"({"name": 1, "inner": {"count": "many"}})", "body");
    std::ignore = reader.requiredText("name");
    std::ignore = reader.object("inner").integer("count");
    CHECK(reader.findings().toString()
          == "body name: has the wrong type\nbody name: must be set\n"
             "body inner.count: has the wrong type\n");
}

// Guards against crashes and stack exhaustion on hostile bodies.
TEST_CASE("arbitrary text never crashes the JSON reader")
{
    CHECK_FALSE(JsonReader(std::string(1000000, '['), "body").findings().empty());
    CHECK(rc::check([](const std::string &text) {
        auto reader = JsonReader(text, "body");
        std::ignore = reader.labels("labels");
        std::ignore = reader.objects("items");
    }));
}

// Guards against a statement or name that changes on its way, or is refused for what is in it.
TEST_CASE("any text reaches the reader of an object unchanged, or is a finding")
{
    for (const auto &text :
         std::vector<std::string>{std::string(100, '['), std::string(100, '{') + "]", "\"", "\\",
                                  "\\\"", "a\r\nb", "\t", std::string("a\0b", 3), "\x01\x1f\x7f",
                                  "\u00e9\u2028", "\U0001f600", "/", "\\u0041", "{\"a\":[1]}"}) {
        INFO(text);
        const auto encoded = JsonWriter().text("t", text).toString();
        auto reader = JsonReader(encoded, "test");
        CHECK(reader.text("t") == text);
        CHECK(reader.findings().empty());
    }
    for (const auto *text : {"\xff", "\xc3", "\xed\xa0\x80"}) {
        auto reader = JsonReader(JsonWriter().text("t", text).toString(), "test");
        CHECK_FALSE(reader.findings().empty());
    }
}

// Guards against a stack that is used up by another writer's document.
TEST_CASE("objects nested too deeply are refused, but not brackets in a text")
{
    const auto nested = [](std::size_t depth) {
        return R"({"a":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
    };
    CHECK(JsonReader(nested(30), "test").findings().empty());
    CHECK_FALSE(JsonReader(nested(40), "test").findings().empty());
    CHECK_FALSE(JsonReader(nested(1'000'000), "test").findings().empty());
    CHECK(JsonReader(R"({"a":"\"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["})", "test")
              .findings()
              .empty());
}

} // namespace auburnrail
