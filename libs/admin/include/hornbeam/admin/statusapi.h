#pragma once

#include <string>

namespace Hornbeam {

struct HealthStatus
{
    bool ready = false; ///< The node serves callers.
    std::string reason; ///< Why the node is not ready; empty when ready.
};

/** Metrics, state and health for monitoring. Called on the control thread. */
class StatusApi
{
public:
    virtual ~StatusApi() = default;

    /** All metrics in the Prometheus text format. */
    virtual std::string renderMetrics() const = 0;

    /** The state of the process as a JSON object. */
    virtual std::string dumpJson() const = 0;

    /** The roll-outs of new versions of services as a JSON object with "decider", "steps" and "rules". */
    virtual std::string rolloutsJson() const
    {
        return R"({"decider":false,"steps":[],"rules":[]})";
    }

    virtual HealthStatus health() const = 0;
};

} // namespace Hornbeam
