#pragma once

#include "fleet.h"

#include <atomic>
#include <cstdint>
#include <thread>

namespace Hornbeam {

/** Announces additional targets at a fixed rate from a separate thread until it is destroyed. */
class TargetChurn
{
public:
    TargetChurn(const Fleet &fleet, int announcementsPerSecond, std::uint64_t seed);
    ~TargetChurn();

    /** Number of successful announcements. */
    std::uint64_t announced() const
    {
        return m_announced.load();
    }

private:
    void run(int announcementsPerSecond, std::uint64_t seed);

    const Fleet &m_fleet;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::uint64_t> m_announced = 0;
    std::thread m_thread;
};

} // namespace Hornbeam
