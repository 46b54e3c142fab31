#pragma once

#include <hornbeam/config/configchange.h>
#include <hornbeam/config/intent.h>
#include <hornbeam/config/snapshot.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

/** How much of the fleet a plan concerns, as known to the node that made it. */
struct PlanImpact
{
    std::size_t proxies = 0; ///< Nodes that will apply the version.
    std::size_t targets = 0; ///< Targets of the services that change or whose routes change, and leaving targets.

    friend bool operator==(const PlanImpact &, const PlanImpact &) = default;
};

/** What an intent would change. Nothing takes effect until the plan is confirmed. */
struct Plan
{
    std::string id;
    ConfigVersion baseVersion = 0;
    Digest baseDigest;
    ConfigVersion targetVersion = 0; ///< Version it becomes unless the base changes first.
    Digest targetDigest; ///< Digest of the content after the change; zero for a refused plan.
    std::vector<ConfigChange> changes;
    JsonProblems refusals; ///< A plan with refusals cannot be confirmed.
    std::vector<std::string> notices; ///< Unusual circumstances that the operator should know before confirming.
    PlanImpact impact;
    Intent intent;
    std::optional<ConfigVersion> confirmedVersion; ///< Set once the plan took effect.

    std::string toJson() const;

    /** Reads what toJson() wrote; InvalidArgument otherwise. */
    static Result<Plan> fromJson(std::string_view json);

    friend bool operator==(const Plan &, const Plan &) = default;
};

/** Whether @p text has the form of a plan id: 32 lower-case hexadecimal digits. */
bool isPlanId(std::string_view text);

} // namespace Hornbeam
