#include <gentianramp/core/metrics.hpp>
#include <string>

#include <criterion/criterion.h>

using namespace gentianramp;

Test(Metrics, SameNameAndLabelsGiveSameCounter)
{
    MetricsRegistry registry;
    registry.counter("requests_total", "Requests", {{"verdict", "NotRun"}}).add(2);
    registry.counter("requests_total", "Requests", {{"verdict", "NotRun"}}).add(3);
    const std::string text = registry.prometheusText();
    cr_assert(text.find("requests_total{verdict=\"NotRun\"} 5") != std::string::npos);
}

Test(Metrics, QuantileLiesWithinOneBin)
{
    Distribution distribution(1, 1000, 100);
    for (int value = 1; value <= 100; ++value)
        distribution.record(value);
    cr_assert_eq(distribution.count(), 100U);
    cr_assert_float_eq(distribution.quantile(0.5), 50, 4);
    cr_assert_float_eq(distribution.sum(), 5050, 0.01);
}

Test(Metrics, WritesCumulativeBuckets)
{
    MetricsRegistry registry;
    registry.latency("wait_seconds", "Wait").record(0.5);
    const std::string text = registry.prometheusText();
    cr_assert(text.find("wait_seconds_bucket{le=\"+Inf\"} 1") != std::string::npos);
    cr_assert(text.find("wait_seconds_count 1") != std::string::npos);
}
