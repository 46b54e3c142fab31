#include <hornbeam/rollouts/fleetoutcomes.h>

#include <algorithm>

namespace Hornbeam {

namespace {

std::uint64_t requestsOf(const OutcomeReport &report)
{
    std::uint64_t sum = 0;
    for (const auto &[version, routes] : report.versions) {
        for (const auto &[route, counts] : routes) {
            sum += counts.requests;
        }
    }
    return sum;
}

RouteOutcomes routesOf(const OutcomeReport *report, const std::string &version)
{
    if (report == nullptr) {
        return {};
    }
    const auto it = report->versions.find(version);
    return it == report->versions.end() ? RouteOutcomes() : it->second;
}

void addTo(RouteOutcomes &sum, const RouteOutcomes &outcomes)
{
    for (const auto &[route, counts] : outcomes) {
        sum[route] += counts;
    }
}

} // namespace

void FleetOutcomes::add(const std::string &node, const OutcomeReport &report, TimePoint now)
{
    auto &samples = m_nodes[node];
    m_longestElapsed = std::max(m_longestElapsed, report.elapsed);
    // The sums of a process only grow: a report with lower ones was overtaken by a later one.
    if (!samples.empty() && requestsOf(report) < requestsOf(samples.back().report)) {
        return;
    }
    samples.push_back({.at = now, .report = report});
    while (samples.size() > 1 && samples[1].at < now - history) {
        samples.pop_front();
    }
}

const OutcomeReport *FleetOutcomes::reportBefore(const Samples &samples, TimePoint since)
{
    const auto it =
        std::find_if(samples.rbegin(), samples.rend(), [&](const Sample &sample) { return sample.at <= since; });
    return it == samples.rend() ? nullptr : &it->report;
}

RouteOutcomes FleetOutcomes::difference(const Samples &samples, const std::string &version, TimePoint since)
{
    auto outcomes = routesOf(&samples.back().report, version);
    for (const auto &[route, counts] : routesOf(reportBefore(samples, since), version)) {
        outcomes[route] = outcomes[route] - counts;
    }
    return outcomes;
}

RouteOutcomes FleetOutcomes::outcomes(const std::string &version) const
{
    RouteOutcomes sum;
    for (const auto &[node, samples] : m_nodes) {
        addTo(sum, routesOf(&samples.back().report, version));
    }
    return sum;
}

RouteOutcomes FleetOutcomes::outcomesSince(const std::string &version, TimePoint since) const
{
    RouteOutcomes sum;
    for (const auto &[node, samples] : m_nodes) {
        addTo(sum, difference(samples, version, since));
    }
    return sum;
}

std::size_t FleetOutcomes::nodesSince(TimePoint since) const
{
    return static_cast<std::size_t>(
        std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto &node) { return node.second.back().at > since; }));
}

FleetOutcomes::Spread FleetOutcomes::spreadSince(const std::string &version, TimePoint since) const
{
    Spread spread;
    for (const auto &[node, samples] : m_nodes) {
        OutcomeCounts sum;
        for (const auto &[route, counts] : difference(samples, version, since)) {
            sum += counts;
        }
        spread.nodes += sum.requests > 0 ? 1 : 0;
        spread.failing += sum.failures > 0 ? 1 : 0;
    }
    return spread;
}

} // namespace Hornbeam
