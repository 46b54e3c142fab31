#include <hornbeam/base/metrics.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

TEST_GROUP(MetricsRegistry)
{
    MetricsRegistry metrics;
};

TEST(MetricsRegistry, returnsTheSameCounterForTheSameLabels)
{
    metrics.counter("calls_total", "Calls.", {{"zone", "turku"}}).add(2);
    CHECK_EQUAL(2, metrics.counter("calls_total", "Calls.", {{"zone", "turku"}}).value());
    CHECK_EQUAL(0, metrics.counter("calls_total", "Calls.", {{"zone", "tampere"}}).value());
}

TEST(MetricsRegistry, rendersPrometheusText)
{
    metrics.counter("calls_total", "Calls.", {{"zone", "turku"}}).add(2);
    metrics.latency("call_seconds", "Call duration.").record(std::chrono::milliseconds(3));
    const auto text = metrics.render();
    CHECK(text.find("calls_total{zone=\"turku\"} 2\n") != std::string::npos);
    CHECK(text.find("call_seconds_count 1\n") != std::string::npos);
}
