#pragma once

#include <hornbeam/rollouts/outcomes.h>

#include <optional>
#include <string>

namespace Hornbeam {

struct VersionComparisonOptions
{
    std::uint64_t minRequests = 10; ///< Of a route, or of all routes together, before they are judged.
    std::uint64_t minFailures = 5; ///< Single failures can have other causes.
    double failureMargin = 0.1; ///< By which the failure rate of the new version must exceed that of the stable one.
    double deviations = 3; ///< Standard deviations by which it must exceed it as well.
    std::uint64_t minTimedRequests = 20; ///< Of a route before its times are compared.
    double slowFactor = 3; ///< Ratio of the mean times; above what targets of one version differ by (up to 3 in all).
};

/**
 * Compares the responses of a new version with those of the stable one in the same period, for each route and for all
 * routes together. Load: failures or slow responses on one route only, while both versions are overloaded and fail or
 * slow down alike; then only the difference counts. Times are compared for each route only, because the two versions
 * may get different mixes of routes.
 *
 * Returns the reason if the new version is bad.
 */
std::optional<std::string> findDegradation(const RouteOutcomes &stable,
                                           const RouteOutcomes &fresh,
                                           const VersionComparisonOptions &options = {});

/** The same, but only failures are compared. For periods in which new targets are still warming up. */
std::optional<std::string> findFailures(const RouteOutcomes &stable,
                                        const RouteOutcomes &fresh,
                                        const VersionComparisonOptions &options = {});

} // namespace Hornbeam
