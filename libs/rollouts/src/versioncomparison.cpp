#include <hornbeam/rollouts/versioncomparison.h>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace Hornbeam {

namespace {

double failureRate(const OutcomeCounts &counts)
{
    return counts.requests == 0 ? 0 : static_cast<double>(counts.failures) / static_cast<double>(counts.requests);
}

double meanMilliseconds(const OutcomeCounts &counts)
{
    return counts.requests == 0 ? 0
                                : static_cast<double>(counts.totalTime.count()) / static_cast<double>(counts.requests);
}

OutcomeCounts sumOf(const RouteOutcomes &routes)
{
    OutcomeCounts sum;
    for (const auto &[route, counts] : routes) {
        sum += counts;
    }
    return sum;
}

OutcomeCounts countsOf(const RouteOutcomes &routes, const std::string &route)
{
    const auto it = routes.find(route);
    return it == routes.end() ? OutcomeCounts() : it->second;
}

std::optional<std::string> compareFailures(const OutcomeCounts &stable,
                                           const OutcomeCounts &fresh,
                                           const std::string &where,
                                           const VersionComparisonOptions &options)
{
    if (fresh.requests < options.minRequests || fresh.failures < options.minFailures) {
        return std::nullopt;
    }
    const auto rate = failureRate(fresh);
    const auto expected = failureRate(stable);
    // A stable version without failures gives no variance, so the rate of both together is used.
    OutcomeCounts both = stable;
    both += fresh;
    const auto pooled = failureRate(both);
    const auto deviation = std::sqrt(pooled * (1 - pooled) / static_cast<double>(fresh.requests));
    if (rate - expected <= std::max(options.failureMargin, options.deviations * deviation)) {
        return std::nullopt;
    }
    return fmt::format("{}: {} of {} requests failed, {:.1f}% at the stable version",
                       where,
                       fresh.failures,
                       fresh.requests,
                       expected * 100);
}

std::optional<std::string> compareTimes(const OutcomeCounts &stable,
                                        const OutcomeCounts &fresh,
                                        const std::string &where,
                                        const VersionComparisonOptions &options)
{
    if (fresh.requests < options.minTimedRequests || stable.requests < options.minTimedRequests) {
        return std::nullopt;
    }
    const auto time = meanMilliseconds(fresh);
    const auto expected = meanMilliseconds(stable);
    if (time <= options.slowFactor * std::max(expected, 1.0)) {
        return std::nullopt;
    }
    return fmt::format(
        "{}: mean of {} requests is {:.0f} ms, {:.0f} ms at the stable version", where, fresh.requests, time, expected);
}

} // namespace

std::optional<std::string> findFailures(const RouteOutcomes &stable,
                                        const RouteOutcomes &fresh,
                                        const VersionComparisonOptions &options)
{
    for (const auto &[route, counts] : fresh) {
        if (auto reason = compareFailures(countsOf(stable, route), counts, "route " + route, options)) {
            return reason;
        }
    }
    return compareFailures(sumOf(stable), sumOf(fresh), "all routes", options);
}

std::optional<std::string> findDegradation(const RouteOutcomes &stable,
                                           const RouteOutcomes &fresh,
                                           const VersionComparisonOptions &options)
{
    for (const auto &[route, counts] : fresh) {
        if (auto reason = compareTimes(countsOf(stable, route), counts, "route " + route, options)) {
            return reason;
        }
    }
    return findFailures(stable, fresh, options);
}

} // namespace Hornbeam
