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
 * Starts and ends faults on the processes of a mesh and on the links between them, chosen by a seed. Faults overlap,
 * but no process has two at a time. One thread only, but for isDisturbed().
 */
class FaultInjector
{
public:
    FaultInjector(Mesh &mesh, std::uint64_t seed);

    /** Starts a random fault that ends after a random time, unless as many as may overlap are active. */
    void startFault();

    /** Ends the faults whose time has passed. */
    void endExpired();

    /** Ends all faults and starts what was stopped. */
    void endAll();

    /** Number of the faults of a node's own process that have begun or ended; odd while there is one. */
    std::uint64_t nodeEpoch(int node) const;

    /** Whether a target was killed, so that its counts are gone. */
    bool hasKilledTarget() const
    {
        return m_killedTarget;
    }

    /** Errors of starting processes again; empty when all are running. */
    const std::vector<std::string> &errors() const
    {
        return m_errors;
    }

private:
    struct Fault
    {
        std::string subject; ///< Process or group of links that is affected.
        std::chrono::steady_clock::time_point end{};
        std::function<void()> undo{};
    };

    std::function<void()> beginNodeFault(int node);
    std::function<void()> beginTargetFault(int target);
    std::function<void()> beginStoreFault();
    std::function<void()> beginZoneFault(const std::string &zone);
    std::function<void()> beginLinkFault();
    std::function<void()> addRule(nlohmann::json rule);

    int below(int n);
    void log(const std::string &text) const;

    Mesh &m_mesh;
    std::mt19937_64 m_random;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
    std::vector<Fault> m_faults;
    std::unique_ptr<std::atomic<std::uint64_t>[]> m_epochs;
    std::vector<std::string> m_errors;
    bool m_killedTarget = false;
    int m_rules = 0;
};

} // namespace Hornbeam
