#pragma once

#include <hornbeam/testsupport/mesh.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace Hornbeam {

/**
 * Polls a node from a separate thread and records whether the configuration version in its responses ever decreases.
 * Responses with a status of 5xx are ignored, since a node sends 503 until it is ready.
 */
class VersionMonitor
{
public:
    VersionMonitor(const Mesh &mesh, int node, std::uint64_t minVersion)
        : m_thread([this, &mesh, node, minVersion] { poll(mesh, node, minVersion); })
    {
    }

    ~VersionMonitor()
    {
        m_stop = true;
        m_thread.join();
    }

    /** Whether a response had a lower version than an earlier response or than the minimum version. */
    bool regressed() const
    {
        return m_regressed;
    }

    /** The lower version, if regressed(). */
    std::uint64_t regressedVersion() const
    {
        return m_regressedVersion;
    }

    /** Number of responses whose version was checked. */
    std::uint64_t checkedResponses() const
    {
        return m_checkedResponses;
    }

private:
    void poll(const Mesh &mesh, int node, std::uint64_t minVersion)
    {
        auto highest = minVersion;
        while (!m_stop) {
            const auto version = mesh.versionUnlessServerError(node, "/rota");
            if (!version) {
                continue;
            }
            ++m_checkedResponses;
            if (*version < highest && !m_regressed) {
                m_regressedVersion = *version;
                m_regressed = true;
            }
            highest = std::max(highest, *version);
        }
    }

    std::atomic<bool> m_stop = false;
    std::atomic<bool> m_regressed = false;
    std::atomic<std::uint64_t> m_regressedVersion = 0;
    std::atomic<std::uint64_t> m_checkedResponses = 0;
    std::thread m_thread;
};

} // namespace Hornbeam
