#include "targetchurn.h"

#include <random>

namespace Hornbeam {

namespace {

constexpr std::chrono::milliseconds timeToLive{3000};
constexpr int addresses = 1000;

} // namespace

TargetChurn::TargetChurn(const Fleet &fleet, int announcementsPerSecond, std::uint64_t seed)
    : m_fleet(fleet)
    , m_thread([this, announcementsPerSecond, seed] { run(announcementsPerSecond, seed); })
{
}

TargetChurn::~TargetChurn()
{
    m_stopping = true;
    m_thread.join();
}

void TargetChurn::run(int announcementsPerSecond, std::uint64_t seed)
{
    if (announcementsPerSecond == 0) {
        return;
    }
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<int> node(0, m_fleet.options().nodes - 1);
    const auto period = std::chrono::nanoseconds(std::chrono::seconds(1)) / announcementsPerSecond;
    auto next = std::chrono::steady_clock::now();
    for (int i = 0; !m_stopping; ++i) {
        m_announced += m_fleet.announce(node(random), i % addresses, timeToLive) ? 1 : 0;
        next += period;
        std::this_thread::sleep_until(next);
    }
}

} // namespace Hornbeam
