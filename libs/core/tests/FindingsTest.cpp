#include <core/Findings.h>

#include <catch2/catch.hpp>

namespace auburnrail {

// Guards against reports that stop at the first fault.
TEST_CASE("findings are reported together with their places")
{
    auto findings = Findings();
    CHECK(findings.toStatus().ok());
    findings.add(Place{"a.ini", 3, "entry", "port"}, "not a number");
    findings.add(Place{"", 0, "", ""}, "no file");
    CHECK(findings.toString() == "a.ini:3: [entry] port: not a number\nno file\n");
    CHECK(findings.toStatus().code() == absl::StatusCode::kInvalidArgument);
}

} // namespace auburnrail
