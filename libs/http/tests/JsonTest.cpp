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

} // namespace auburnrail
