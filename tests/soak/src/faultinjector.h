#pragma once

#include "disruptor.h"

#include <functional>
#include <string>
#include <vector>

namespace Hornbeam {

/**
 * Starts and ends random faults of the processes of a mesh and the links between them. Faults may overlap, but each
 * process, zone or other subject has at most one at a time.
 */
class FaultInjector : public Disruptor
{
public:
    using Disruptor::Disruptor;

    std::chrono::milliseconds step() override;
    void finish() override;

    bool hasKilledTarget() const override
    {
        return m_killedTarget;
    }

private:
    struct Fault
    {
        std::string subject; ///< The affected process, zone or group of links.
        TimePoint end{};
        std::function<void()> undo{};
    };

    /**
     * Selects a random fault and starts it for a random time. Does nothing when its subject already has a fault or the
     * maximum number of faults is active.
     */
    void startFault();
    void endExpired();
    std::function<void()> beginNodeFault(int node);
    std::function<void()> endNode(int node);
    std::function<void()> beginTargetFault(int target);
    std::function<void()> beginStoreFault();
    std::function<void()> beginZoneFault(const std::string &zone);
    std::function<void()> beginLinkFault();
    std::function<void()> addRule(nlohmann::json rule);

    std::vector<Fault> m_faults;
    bool m_killedTarget = false;
    int m_rules = 0;
};

} // namespace Hornbeam
