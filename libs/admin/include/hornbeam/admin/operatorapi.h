#pragma once

#include <hornbeam/config/planservice.h>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace Hornbeam {

/** A known node that does not have a version yet. */
struct LaggingNode
{
    std::string node;
    std::string zone;
    ConfigVersion version = 0; ///< The newest version that it reported.
};

/** Progress of the rollout of a version, as this node knows it. */
struct RolloutStatus
{
    ConfigVersion version = 0;
    std::size_t knownNodes = 0;
    std::size_t nodesWithVersion = 0; ///< Nodes that reported this version or a higher one.
    std::vector<LaggingNode> behind; ///< Nodes without the version; may be incomplete.
};

/** Operations for operators. Called on the control thread; callbacks may run later, on the control thread. */
class OperatorApi
{
public:
    virtual ~OperatorApi() = default;

    virtual void createPlan(Intent intent, std::function<void(Result<Plan>)> callback) = 0;
    virtual void readPlan(const std::string &id, std::function<void(Result<Plan>)> callback) = 0;
    virtual void confirmPlan(const std::string &id, std::function<void(ConfirmResult)> callback) = 0;

    /** The version in effect on this node. */
    virtual SnapshotPtr configuration() const = 0;

    virtual RolloutStatus rollout(ConfigVersion version) const = 0;
};

} // namespace Hornbeam
