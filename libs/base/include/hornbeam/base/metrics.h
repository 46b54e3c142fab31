#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Hornbeam {

/** A monotonic counter. Thread-safe. */
class Counter
{
public:
    void add(std::uint64_t n = 1)
    {
        m_value.fetch_add(n, std::memory_order_relaxed);
    }

    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

/** A value that can go up and down. Thread-safe. */
class Gauge
{
public:
    void set(std::int64_t value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    void add(std::int64_t n)
    {
        m_value.fetch_add(n, std::memory_order_relaxed);
    }

    std::int64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_value = 0;
};

/** Quantiles of a duration, estimated by Boost.Accumulators without keeping the samples. Thread-safe. */
class LatencyRecorder
{
public:
    LatencyRecorder();
    ~LatencyRecorder();

    void record(std::chrono::nanoseconds duration);

    std::uint64_t count() const;

    /** Estimated quantile in seconds; @p probability is one of 0.5, 0.9 and 0.99. Zero without samples. */
    double quantile(double probability) const;

    /** Sum of all samples in seconds. */
    double sum() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/** A label of a metric, for example {"zone", "turku"}. */
struct MetricLabel
{
    std::string name;
    std::string value;

    friend auto operator<=>(const MetricLabel &, const MetricLabel &) = default;
};

/**
 * Owns the process's metrics and renders them in the Prometheus text format.
 * The references it returns stay valid for the registry's lifetime; the same name and labels always return the same
 * object. Thread-safe.
 */
class MetricsRegistry
{
public:
    MetricsRegistry();
    ~MetricsRegistry();

    Counter &counter(const std::string &name, const std::string &help, std::vector<MetricLabel> labels = {});
    Gauge &gauge(const std::string &name, const std::string &help, std::vector<MetricLabel> labels = {});
    LatencyRecorder &latency(const std::string &name, const std::string &help, std::vector<MetricLabel> labels = {});

    /** Renders all metrics in the Prometheus text format, version 0.0.4. */
    std::string render() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Hornbeam
