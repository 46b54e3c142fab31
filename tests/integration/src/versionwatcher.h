#pragma once

#include <hornbeam/testsupport/mesh.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace Hornbeam {

/**
 * Calls a node all the time and remembers whether it ever served a call, or refused one for want of a route, under a
 * lower version than before. A node that is not ready answers 503, which decides nothing.
 */
class VersionWatcher
{
public:
    VersionWatcher(const Mesh &mesh, int node, std::uint64_t floor)
        : m_thread([this, &mesh, node, floor] { watch(mesh, node, floor); })
    {
    }

    ~VersionWatcher()
    {
        m_stop = true;
        m_thread.join();
    }

    /** Whether a call was decided under a lower version than an earlier one, or than the floor. */
    bool regressed() const
    {
        return m_regressed;
    }

    /** That lower version. */
    std::uint64_t regression() const
    {
        return m_regression;
    }

    /** How many calls the node has served or refused by its configuration. */
    std::uint64_t decisions() const
    {
        return m_decisions;
    }

private:
    void watch(const Mesh &mesh, int node, std::uint64_t floor)
    {
        auto highest = floor;
        while (!m_stop) {
            const auto version = mesh.decidedVersion(node, "/rota");
            if (!version) {
                continue;
            }
            ++m_decisions;
            if (*version < highest && !m_regressed) {
                m_regression = *version;
                m_regressed = true;
            }
            highest = std::max(highest, *version);
        }
    }

    std::atomic<bool> m_stop = false;
    std::atomic<bool> m_regressed = false;
    std::atomic<std::uint64_t> m_regression = 0;
    std::atomic<std::uint64_t> m_decisions = 0;
    std::thread m_thread;
};

} // namespace Hornbeam
