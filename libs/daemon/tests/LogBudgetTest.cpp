#include <daemon/LogBudget.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto START = TimePoint(1000s);

auto countAdmitted(LogBudget &budget, LogLevel level, int lines, TimePoint now) -> int
{
    auto admitted = 0;
    for (auto i = 0; i < lines; ++i)
        admitted += budget.admit(level, now).has_value() ? 1 : 0;
    return admitted;
}

} // namespace

// Guards against a flood of lines that costs more than the work it describes.
TEST_CASE("log budget bounds the lines in any interval")
{
    auto budget = LogBudget(START);
    auto admitted = 0;
    for (auto ms = 0; ms < 10000; ++ms)
        admitted +=
            countAdmitted(budget, LogLevel::Warning, 5, START + std::chrono::milliseconds(ms));
    const auto bound = LogBudget::LINES_AT_ONCE + 10 * LogBudget::LINES_PER_SECOND;
    CHECK(admitted <= bound);
    CHECK(admitted > bound - 2);
}

// Guards against failures that can't be explained because routine lines took the budget.
TEST_CASE("log budget omits routine lines first and says how many")
{
    auto budget = LogBudget(START);
    const auto routine = countAdmitted(budget, LogLevel::Info, 1000, START);
    CHECK(routine == LogBudget::LINES_AT_ONCE - LogBudget::FAILURE_RESERVE);

    const auto omissions = budget.admit(LogLevel::Error, START);
    REQUIRE(omissions);
    CHECK(omissions->routine == 1000 - static_cast<std::uint64_t>(routine));
    CHECK(omissions->failures == 0);

    CHECK(countAdmitted(budget, LogLevel::Warning, 1000, START) == LogBudget::FAILURE_RESERVE - 1);
    CHECK_FALSE(budget.admit(LogLevel::Info, START + 1s));
    const auto later = budget.admit(LogLevel::Warning, START + 1s);
    REQUIRE(later);
    CHECK(later->failures == 1000 - (LogBudget::FAILURE_RESERVE - 1));
    CHECK(later->routine == 1);
}

} // namespace auburnrail
