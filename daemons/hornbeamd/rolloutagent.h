#pragma once

#include "logger.h"

#include <hornbeam/base/timerservice.h>
#include <hornbeam/membership/target.h>
#include <hornbeam/rollouts/rolloutcoordinator.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Hornbeam {

class FailureDetector;
class KeyValueStore;
class MembershipTable;
class MetricsRegistry;

struct RolloutAgentOptions
{
    std::string node; ///< Member id of the node.
    RolloutLimits limits{};
};

/** The referenced objects must outlive the agent. */
struct RolloutAgentDependencies
{
    KeyValueStore &store;
    TimerService &timers;
    FailureDetector &detector;
    const MembershipTable &members;
    MetricsRegistry &metrics;
    const RolloutStatusEncoder &status;
};

/** Connects the roll-outs of this node with the membership, the log and the metrics. Control thread only. */
class RolloutAgent : private RolloutNetwork, private RolloutListener
{
public:
    /** Returns the errors of RolloutCoordinator::make(). */
    static Result<std::unique_ptr<RolloutAgent>> make(RolloutAgentOptions options,
                                                      RolloutAgentDependencies dependencies);

    /** Calls @p changed when rules() has changed. */
    void start(std::function<void()> changed);

    /** Reads from the store what earlier processes have decided, and then calls @p loaded once. */
    void load(std::function<void()> loaded);

    /** Whether the function of load() was called. */
    bool isLoaded() const
    {
        return m_isLoaded;
    }

    /** Hands over the decision of roll-outs to another node. */
    void stop();

    void ordered(const RolloutOrder &order);
    void orderRefused(const std::string &key, const Error &error);

    /** Replaces the known targets, leaving ones included. */
    void setTargets(const std::vector<Target> &targets);

    std::vector<VersionRule> rules() const;

    /** Counts the results of the targets on this host; thread-safe. */
    OutcomeLedger &ledger()
    {
        return m_ledger;
    }

    /** The newest steps and the rules in effect, as a JSON object. */
    std::string dumpJson() const;

private:
    RolloutAgent(RolloutAgentOptions options, RolloutAgentDependencies dependencies);

    void broadcast(std::string_view message) override;
    void send(const std::string &node, std::string_view message) override;
    std::size_t liveNodes() const override;
    bool isCandidate() const override;
    void rulesChanged() override;
    void stepChanged(const RolloutStep &step, bool decider) override;
    void decidesRollouts(bool decider) override;
    void rulesReady() override;

    const RolloutAgentOptions m_options;
    RolloutAgentDependencies m_dependencies;
    Logger m_log{"rollouts"};
    OutcomeLedger m_ledger;
    std::function<void()> m_changed;
    std::function<void()> m_loaded;
    bool m_isLoaded = false;
    std::unique_ptr<RolloutCoordinator> m_coordinator;
};

} // namespace Hornbeam
