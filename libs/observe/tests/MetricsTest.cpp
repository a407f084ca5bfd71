#include <observe/Metrics.h>

#include <catch2/catch.hpp>

#include <vector>

namespace auburnrail {

// Guards against estimates from the markers of an algorithm that has not seen enough values.
TEST_CASE("a distribution is exact for few values and close for many")
{
    auto distribution = Distribution();
    CHECK(distribution.summary().count == 0);
    for (auto value = 9; value >= 1; --value) {
        distribution.add(value);
        CHECK(distribution.summary().quantiles[0] >= value);
        CHECK(distribution.summary().max == 9);
    }
    CHECK(distribution.summary().quantiles == std::array<double, 3>{5, 9, 9});
    for (auto i = 0; i < 10'000; ++i)
        distribution.add((i * 7919) % 10'000);
    const auto summary = distribution.summary();
    CHECK(summary.count == 10'009);
    CHECK(summary.mean == Approx(4995).epsilon(0.01));
    CHECK(summary.quantiles[0] == Approx(5000).epsilon(0.05));
    CHECK(summary.quantiles[1] == Approx(9500).epsilon(0.02));
    CHECK(summary.quantiles[2] == Approx(9900).epsilon(0.02));
}

// Guards against text that a scraper rejects: label values are not under the operator's control.
TEST_CASE("metrics are printed in the text exposition format")
{
    auto metrics = Metrics(10);
    const auto label = Labels{{"organisation", "a\"b\\c\n"}};
    const auto served = metrics.series(MetricKind::Counter, "served_total", "Served.", label);
    CHECK(metrics.series(MetricKind::Counter, "served_total", "Served.", label) == served);
    metrics.add(served, 2);
    metrics.set(metrics.series(MetricKind::Gauge, "leases", "Live leases."), 3);
    metrics.record(metrics.series(MetricKind::Distribution, "wait_ms", "Wait."), 4);
    CHECK(metrics.toText()
          == "# HELP leases Live leases.\n# TYPE leases gauge\nleases 3\n"
             "# HELP served_total Served.\n# TYPE served_total counter\n"
             "served_total{organisation=\"a\\\"b\\\\c\\n\"} 2\n"
             "# HELP wait_ms Wait.\n# TYPE wait_ms summary\n"
             "wait_ms{quantile=\"0.5\"} 4\nwait_ms{quantile=\"0.95\"} 4\n"
             "wait_ms{quantile=\"0.99\"} 4\nwait_ms_sum 4\nwait_ms_count 1\n"
             "# HELP wait_ms_max Greatest value of wait_ms\n# TYPE wait_ms_max gauge\n"
             "wait_ms_max 4\n");
}

// Guards against a counter that seems to stand still: it was printed with six digits.
TEST_CASE("large values are printed in full")
{
    auto metrics = Metrics(10);
    metrics.add(metrics.series(MetricKind::Counter, "served_total", "Served."), 1'234'567);
    metrics.set(metrics.series(MetricKind::Gauge, "time_ms", "Time."), 1'796'592'000'123.5);
    const auto waits = metrics.series(MetricKind::Distribution, "wait_ms", "Wait.");
    metrics.record(waits, 12'345'678);
    const auto text = metrics.toText();
    CHECK_THAT(text, Catch::Contains("\nserved_total 1234567\n"));
    CHECK_THAT(text, Catch::Contains("\ntime_ms 1796592000123.5\n"));
    CHECK_THAT(text, Catch::Contains("\nwait_ms{quantile=\"0.95\"} 12345678\n"));
    CHECK_THAT(text, Catch::Contains("\nwait_ms_sum 12345678\n"));
    CHECK_THAT(text, Catch::Contains("\nwait_ms_max 12345678\n"));
}

// Guards against memory that grows with the number of organisations.
TEST_CASE("series past the limit share one")
{
    auto metrics = Metrics(1);
    const auto first = metrics.series(MetricKind::Counter, "n", "N.", {{"organisation", "a"}});
    const auto second = metrics.series(MetricKind::Counter, "n", "N.", {{"organisation", "b"}});
    CHECK(second != first);
    CHECK(metrics.series(MetricKind::Counter, "n", "N.", {{"organisation", "c"}}) == second);
}

} // namespace auburnrail
