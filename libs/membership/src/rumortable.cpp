#include "rumortable.h"

#include <chrono>

namespace Hornbeam {

namespace {

constexpr std::size_t fieldOverheadBytes = 5; // Tag, of up to two bytes, and length of the field.
constexpr auto minTimeToLive = std::chrono::milliseconds(1);
constexpr auto maxTimeToLive = std::chrono::hours(1);

// An expired rumor is kept for this time so that a copy that was still in transit is not added as a new one.
constexpr auto retentionAfterExpiry = std::chrono::seconds(10);

} // namespace

Rumor RumorTable::makeRumor(const Key &key, std::chrono::milliseconds timeLeft)
{
    return {.request = key.request,
            .target = key.target,
            .event = key.event,
            .refuted = key.refuted,
            .timeToLive = timeLeft};
}

RumorTable::RumorTable(TimerService &timers, std::uint32_t retransmissions)
    : m_timers(timers)
    , m_retransmissions(retransmissions)
{
}

bool RumorTable::add(const Rumor &rumor)
{
    if (m_items.size() >= maxRumors || rumor.timeToLive < minTimeToLive || rumor.timeToLive > maxTimeToLive) {
        return false;
    }
    const Key key{.request = rumor.request, .target = rumor.target, .event = rumor.event, .refuted = rumor.refuted};
    const Item item{.expiry = m_timers.now() + rumor.timeToLive, .retransmissionsLeft = m_retransmissions};
    if (!m_items.emplace(key, item).second) {
        return false;
    }
    m_pending.push_back(key);
    ++m_retransmitting;
    return true;
}

void RumorTable::takePending(Wire::Datagram &datagram)
{
    auto it = m_pending.begin();
    while (it != m_pending.end()) {
        const auto item = m_items.find(*it);
        if (item != m_items.end()) {
            if (!append(datagram, *it, item->second)) {
                break;
            }
            item->second.pending = false;
        }
        ++it;
    }
    m_pending.erase(m_pending.begin(), it);
}

void RumorTable::piggyback(Wire::Datagram &datagram)
{
    if (m_retransmitting == 0) {
        return;
    }
    m_retransmitting = 0;
    for (auto &[key, item] : m_items) {
        if (!item.pending && item.retransmissionsLeft > 0 && append(datagram, key, item)) {
            --item.retransmissionsLeft;
        }
        m_retransmitting += item.retransmissionsLeft > 0 ? 1 : 0;
    }
}

void RumorTable::appendAll(Wire::Datagram &datagram) const
{
    for (const auto &[key, item] : m_items) {
        if (!append(datagram, key, item)) {
            return;
        }
    }
}

std::vector<Rumor> RumorTable::active() const
{
    std::vector<Rumor> rumors;
    for (const auto &[key, item] : m_items) {
        const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(item.expiry - m_timers.now());
        if (timeLeft.count() > 0) {
            rumors.push_back(makeRumor(key, timeLeft));
        }
    }
    return rumors;
}

void RumorTable::sweep()
{
    const auto now = m_timers.now();
    std::erase_if(m_items, [now](const auto &entry) { return entry.second.expiry + retentionAfterExpiry <= now; });
}

bool RumorTable::append(Wire::Datagram &datagram, const Key &key, const Item &item) const
{
    const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(item.expiry - m_timers.now());
    if (timeLeft.count() <= 0) {
        return true;
    }
    const auto rumor = makeRumor(key, timeLeft);
    if (datagram.ByteSizeLong() + toWire(rumor).ByteSizeLong() + fieldOverheadBytes > maxDatagramBytes) {
        return false;
    }
    Hornbeam::append(datagram, rumor);
    return true;
}

} // namespace Hornbeam
