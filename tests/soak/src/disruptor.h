#pragma once

#include "nodedisruptions.h"

#include <hornbeam/testsupport/mesh.h>

#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace Hornbeam {

/** Disrupts the processes of a mesh at random, determined by a seed. All functions must be called from one thread. */
class Disruptor
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** Records the disruptions of nodes in @p disruptions. */
    Disruptor(Mesh &mesh, NodeDisruptions &disruptions, std::uint64_t seed);
    virtual ~Disruptor();
    Disruptor(const Disruptor &) = delete;
    Disruptor &operator=(const Disruptor &) = delete;

    /** Starts and ends the disruptions that are due; returns the time until the next call. */
    virtual std::chrono::milliseconds step() = 0;

    /** Ends all disruptions and starts the stopped processes again. */
    virtual void finish() = 0;

    /** Whether a target was killed and has lost its execution counts. */
    virtual bool hasKilledTarget() const = 0;

    /** Errors of the processes, which are violations, and of the tools that disrupt them. */
    const std::vector<std::string> &errors() const
    {
        return m_errors;
    }

protected:
    /** Returns a random number in [0, n). */
    int randomBelow(int n);

    /** Starts the node's process again and records the end of its disruption. */
    void restartNode(int node);

    void addError(std::string text);

    Mesh &m_mesh;
    NodeDisruptions &m_disruptions;
    std::mt19937_64 m_random;

private:
    std::vector<std::string> m_errors;
};

} // namespace Hornbeam
