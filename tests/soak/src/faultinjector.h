#pragma once

#include <hornbeam/testsupport/mesh.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Hornbeam {

/**
 * Starts and ends random faults of the processes of a mesh and the links between them, determined by a seed. Faults may
 * overlap, but each process, zone or other subject has at most one at a time. All functions except
 * nodeFaultTransitions() must be called from one thread.
 */
class FaultInjector
{
public:
    FaultInjector(Mesh &mesh, std::uint64_t seed);

    /**
     * Selects a random fault and starts it for a random time. Does nothing when its subject already has a fault or the
     * maximum number of faults is active.
     */
    void startFault();

    /** Ends the faults whose duration has elapsed. */
    void endExpired();

    /** Ends all faults and starts the stopped processes again. */
    void endAll();

    /** How often a fault of the node's process has started or ended; odd while one is active. Thread-safe. */
    std::uint64_t nodeFaultTransitions(int node) const;

    /** Whether a target was killed and has lost its execution counts. */
    bool hasKilledTarget() const
    {
        return m_killedTarget;
    }

    /** Errors from stopping and restarting processes and from adding fault rules. */
    const std::vector<std::string> &errors() const
    {
        return m_errors;
    }

private:
    struct Fault
    {
        std::string subject; ///< The affected process, zone or group of links.
        std::chrono::steady_clock::time_point end{};
        std::function<void()> undo{};
    };

    std::function<void()> beginNodeFault(int node);
    std::function<void()> beginTargetFault(int target);
    std::function<void()> beginStoreFault();
    std::function<void()> beginZoneFault(const std::string &zone);
    std::function<void()> beginLinkFault();
    std::function<void()> addRule(nlohmann::json rule);

    /** Returns a random number in [0, n). */
    int randomBelow(int n);
    void log(const std::string &text) const;

    Mesh &m_mesh;
    std::mt19937_64 m_random;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
    std::vector<Fault> m_faults;
    std::unique_ptr<std::atomic<std::uint64_t>[]> m_nodeFaultTransitions;
    std::vector<std::string> m_errors;
    bool m_killedTarget = false;
    int m_rules = 0;
};

} // namespace Hornbeam
