#include <hornbeam/base/metrics.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>
#include <sstream>

namespace Hornbeam {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> reportedProbabilities = {0.5, 0.9, 0.99};

std::string formatLabels(const std::vector<MetricLabel> &labels, const std::string &extra = {})
{
    std::string text;
    for (const auto &label : labels) {
        text += (text.empty() ? "" : ",") + label.name + "=\"" + label.value + "\"";
    }
    if (!extra.empty()) {
        text += (text.empty() ? "" : ",") + extra;
    }
    return text.empty() ? text : "{" + text + "}";
}

using LabelSet = std::vector<MetricLabel>;

/** A metric family: all time series of one metric name. */
template <typename Series>
struct Family
{
    std::string help;
    std::map<LabelSet, std::unique_ptr<Series>> series;
};

template <typename Series>
Series &findOrCreate(std::map<std::string, Family<Series>> &families,
                     const std::string &name,
                     const std::string &help,
                     LabelSet labels)
{
    auto &family = families[name];
    family.help = help;
    auto &series = family.series[std::move(labels)];
    if (!series) {
        series = std::make_unique<Series>();
    }
    return *series;
}

void writeHeader(std::ostream &out, const std::string &name, const std::string &help, const char *type)
{
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
}

} // namespace

class LatencyRecorder::Impl
{
public:
    using Samples =
        acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

    Samples samples{acc::extended_p_square_probabilities = reportedProbabilities};
    mutable std::mutex mutex;
};

LatencyRecorder::LatencyRecorder()
    : m_impl(std::make_unique<Impl>())
{
}

LatencyRecorder::~LatencyRecorder() = default;

void LatencyRecorder::record(std::chrono::nanoseconds duration)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->samples(std::chrono::duration<double>(duration).count());
}

std::uint64_t LatencyRecorder::count() const
{
    const std::lock_guard lock(m_impl->mutex);
    return acc::count(m_impl->samples);
}

double LatencyRecorder::quantile(double probability) const
{
    const std::lock_guard lock(m_impl->mutex);
    if (acc::count(m_impl->samples) == 0) {
        return 0;
    }
    const auto quantiles = acc::extended_p_square(m_impl->samples);
    for (std::size_t i = 0; i < reportedProbabilities.size(); ++i) {
        if (reportedProbabilities[i] >= probability) {
            return quantiles[static_cast<std::ptrdiff_t>(i)];
        }
    }
    return quantiles[reportedProbabilities.size() - 1];
}

double LatencyRecorder::sum() const
{
    const std::lock_guard lock(m_impl->mutex);
    return acc::sum(m_impl->samples);
}

class MetricsRegistry::Impl
{
public:
    mutable std::mutex mutex;
    std::map<std::string, Family<Counter>> counters;
    std::map<std::string, Family<Gauge>> gauges;
    std::map<std::string, Family<LatencyRecorder>> latencies;
};

MetricsRegistry::MetricsRegistry()
    : m_impl(std::make_unique<Impl>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

Counter &MetricsRegistry::counter(const std::string &name, const std::string &help, std::vector<MetricLabel> labels)
{
    const std::lock_guard lock(m_impl->mutex);
    return findOrCreate(m_impl->counters, name, help, std::move(labels));
}

Gauge &MetricsRegistry::gauge(const std::string &name, const std::string &help, std::vector<MetricLabel> labels)
{
    const std::lock_guard lock(m_impl->mutex);
    return findOrCreate(m_impl->gauges, name, help, std::move(labels));
}

LatencyRecorder &MetricsRegistry::latency(const std::string &name,
                                          const std::string &help,
                                          std::vector<MetricLabel> labels)
{
    const std::lock_guard lock(m_impl->mutex);
    return findOrCreate(m_impl->latencies, name, help, std::move(labels));
}

std::string MetricsRegistry::render() const
{
    const std::lock_guard lock(m_impl->mutex);
    std::ostringstream out;
    for (const auto &[name, family] : m_impl->counters) {
        writeHeader(out, name, family.help, "counter");
        for (const auto &[labels, counter] : family.series) {
            out << name << formatLabels(labels) << ' ' << counter->value() << '\n';
        }
    }
    for (const auto &[name, family] : m_impl->gauges) {
        writeHeader(out, name, family.help, "gauge");
        for (const auto &[labels, gauge] : family.series) {
            out << name << formatLabels(labels) << ' ' << gauge->value() << '\n';
        }
    }
    for (const auto &[name, family] : m_impl->latencies) {
        writeHeader(out, name, family.help, "summary");
        for (const auto &[labels, latency] : family.series) {
            for (const auto probability : reportedProbabilities) {
                std::ostringstream quantile;
                quantile << "quantile=\"" << probability << '"';
                out << name << formatLabels(labels, quantile.str()) << ' ' << latency->quantile(probability) << '\n';
            }
            out << name << "_sum" << formatLabels(labels) << ' ' << latency->sum() << '\n';
            out << name << "_count" << formatLabels(labels) << ' ' << latency->count() << '\n';
        }
    }
    return out.str();
}

} // namespace Hornbeam
