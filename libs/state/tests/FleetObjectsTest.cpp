#include <state/FleetObjects.h>

#include <catch2/catch.hpp>

namespace auburnrail {

// Guards against a configuration whose cost grows with the square of its routes.
TEST_CASE("a route is added to its service's index in place, and copies keep theirs")
{
    auto objects = FleetObjects();
    objects.put(Route{.name = "a", .service = "logs"});
    const auto *first = &*objects.routesOf("logs").begin();
    objects.put(Route{.name = "b", .service = "logs"});
    CHECK(&*objects.routesOf("logs").begin() == first);
    const auto copy = objects;
    objects.put(Route{.name = "c", .service = "logs"});
    CHECK(objects.routesOf("logs") == std::set<std::string>{"a", "b", "c"});
    CHECK(copy.routesOf("logs") == std::set<std::string>{"a", "b"});
    objects.erase(ObjectKind::Route, "a");
    objects.put(Route{.name = "b", .service = "audits"});
    objects.erase(ObjectKind::Route, "c");
    CHECK(objects.routesOf("logs").empty());
    CHECK(copy.routesOf("logs") == std::set<std::string>{"a", "b"});
}

} // namespace auburnrail
