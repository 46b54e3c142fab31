#pragma once

#include <hornbeam/testsupport/mesh.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace Hornbeam {

/** Calls a node all the time and remembers whether it ever served a lower version than before. */
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

    /** The first version served below the highest one before, or 0. */
    std::uint64_t regression() const
    {
        return m_regression;
    }

    std::uint64_t served() const
    {
        return m_served;
    }

private:
    void watch(const Mesh &mesh, int node, std::uint64_t floor)
    {
        auto highest = floor;
        while (!m_stop) {
            const auto version = mesh.servedVersion(node, "/rota");
            if (version == 0) {
                continue;
            }
            ++m_served;
            if (version < highest && m_regression == 0) {
                m_regression = version;
            }
            highest = std::max(highest, version);
        }
    }

    std::atomic<bool> m_stop = false;
    std::atomic<std::uint64_t> m_regression = 0;
    std::atomic<std::uint64_t> m_served = 0;
    std::thread m_thread;
};

} // namespace Hornbeam
