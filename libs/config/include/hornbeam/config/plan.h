#pragma once

#include <hornbeam/config/configchange.h>
#include <hornbeam/config/intent.h>
#include <hornbeam/config/snapshot.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

/** How many nodes and targets a plan affects, as known to the node that made it. */
struct PlanImpact
{
    std::size_t proxies = 0; ///< Nodes that apply the new version.
    /**
     * Targets of services that change or that are the Route::service of a changed route, and targets that the plan
     * marks as leaving or no longer leaving. Those of the services of a route's splits are not counted.
     */
    std::size_t targets = 0;

    friend bool operator==(const PlanImpact &, const PlanImpact &) = default;
};

/** The changes that an intent would make. Nothing takes effect until the plan is confirmed. */
struct Plan
{
    std::string id;
    ConfigVersion baseVersion = 0;
    Digest baseDigest;
    ConfigVersion targetVersion = 0; ///< Version that confirming the plan creates, provided that the base is unchanged.
    Digest targetDigest; ///< Digest of the resulting content; zero for a refused plan.
    std::vector<ConfigChange> changes;
    JsonProblems refusals; ///< A plan with refusals cannot be confirmed.
    std::vector<std::string> notices; ///< Warnings for the operator to read before confirming.
    PlanImpact impact;
    Intent intent;
    std::optional<ConfigVersion> confirmedVersion; ///< Set once the plan has taken effect.

    std::string toJson() const;

    /** Parses the output of toJson(). InvalidArgument for any other document. */
    static Result<Plan> fromJson(std::string_view json);

    friend bool operator==(const Plan &, const Plan &) = default;
};

/** Whether @p text has the form of a plan id: 32 lower-case hexadecimal digits. */
bool isPlanId(std::string_view text);

} // namespace Hornbeam
