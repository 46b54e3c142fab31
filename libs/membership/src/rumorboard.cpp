#include "rumorboard.h"

#include <chrono>

namespace Hornbeam {

namespace {

constexpr std::size_t fieldOverheadBytes = 4;
constexpr auto minTimeToLive = std::chrono::milliseconds(1);
constexpr auto maxTimeToLive = std::chrono::hours(1);

// A copy that was on its way when the rumor expired must not revive it.
constexpr auto memoryAfterExpiry = std::chrono::seconds(10);

} // namespace

RumorBoard::RumorBoard(TimerService &timers, std::uint32_t retransmissions)
    : m_timers(timers)
    , m_retransmissions(retransmissions)
{
}

bool RumorBoard::add(const Rumor &rumor)
{
    if (m_items.size() >= maxRumors || rumor.timeToLive < minTimeToLive || rumor.timeToLive > maxTimeToLive) {
        return false;
    }
    const Key key(rumor.request, rumor.target);
    const Item item{.expiry = m_timers.now() + rumor.timeToLive, .remaining = m_retransmissions};
    if (!m_items.emplace(key, item).second) {
        return false;
    }
    m_fresh.push_back(key);
    ++m_repeated;
    return true;
}

void RumorBoard::takeFresh(Wire::Datagram &datagram)
{
    auto it = m_fresh.begin();
    while (it != m_fresh.end()) {
        const auto item = m_items.find(*it);
        if (item != m_items.end()) {
            if (!append(datagram, *it, item->second)) {
                break;
            }
            item->second.fresh = false;
        }
        ++it;
    }
    m_fresh.erase(m_fresh.begin(), it);
}

void RumorBoard::piggyback(Wire::Datagram &datagram)
{
    if (m_repeated == 0) {
        return;
    }
    m_repeated = 0;
    for (auto &[key, item] : m_items) {
        if (!item.fresh && item.remaining > 0 && append(datagram, key, item)) {
            --item.remaining;
        }
        m_repeated += item.remaining > 0 ? 1 : 0;
    }
}

void RumorBoard::appendAll(Wire::Datagram &datagram) const
{
    for (const auto &[key, item] : m_items) {
        if (!append(datagram, key, item)) {
            return;
        }
    }
}

std::vector<Rumor> RumorBoard::active() const
{
    std::vector<Rumor> rumors;
    for (const auto &[key, item] : m_items) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(item.expiry - m_timers.now());
        if (left.count() > 0) {
            rumors.push_back({.request = key.first, .target = key.second, .timeToLive = left});
        }
    }
    return rumors;
}

void RumorBoard::sweep()
{
    const auto now = m_timers.now();
    std::erase_if(m_items, [now](const auto &entry) { return entry.second.expiry + memoryAfterExpiry <= now; });
}

bool RumorBoard::append(Wire::Datagram &datagram, const Key &key, const Item &item) const
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(item.expiry - m_timers.now());
    if (left.count() <= 0) {
        return true;
    }
    const auto rumor = toWire(Rumor{.request = key.first, .target = key.second, .timeToLive = left});
    if (datagram.ByteSizeLong() + rumor.ByteSizeLong() + fieldOverheadBytes > maxDatagramBytes) {
        return false;
    }
    *datagram.add_rumors() = rumor;
    return true;
}

} // namespace Hornbeam
