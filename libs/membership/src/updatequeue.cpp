#include "updatequeue.h"

#include <utility>

namespace Hornbeam {

namespace {

constexpr std::size_t fieldOverheadBytes = 4; // Tag and length of the field.

} // namespace

bool appendUpdate(Wire::Datagram &datagram, const Wire::MemberUpdate &update)
{
    if (datagram.ByteSizeLong() + update.ByteSizeLong() + fieldOverheadBytes > maxDatagramBytes) {
        return false;
    }
    *datagram.add_updates() = update;
    return true;
}

UpdateQueue::UpdateQueue(std::uint32_t retransmissions)
    : m_retransmissions(retransmissions)
{
}

void UpdateQueue::add(MemberHash hash, Wire::MemberUpdate update)
{
    const auto [it, inserted] = m_items.try_emplace(hash);
    it->second.update = std::move(update);
    it->second.remaining = m_retransmissions;
    it->second.forwarded = false;
    if (!std::exchange(it->second.fresh, true)) {
        m_fresh.push_back(hash);
    }
    if (inserted) {
        m_repeated.push_back(hash);
    }
}

void UpdateQueue::takeFresh(Wire::Datagram &datagram)
{
    auto it = m_fresh.begin();
    while (it != m_fresh.end()) {
        auto &item = m_items.at(*it);
        // An update that does not fit into an empty datagram is skipped, so that it cannot block the others.
        if (!appendUpdate(datagram, item.update) && datagram.updates_size() > 0) {
            break;
        }
        item.fresh = false;
        if (!std::exchange(item.forwarded, true) && m_retransmissions > 0) {
            m_forwarded.push_back(*it);
        }
        ++it;
    }
    m_fresh.erase(m_fresh.begin(), it);
}

void UpdateQueue::refresh()
{
    for (const auto hash : std::exchange(m_forwarded, {})) {
        const auto item = m_items.find(hash);
        if (item != m_items.end() && !std::exchange(item->second.fresh, true)) {
            m_fresh.push_back(hash);
        }
    }
}

void UpdateQueue::piggyback(Wire::Datagram &datagram)
{
    for (auto n = m_repeated.size(); n > 0; --n) {
        const auto hash = m_repeated.front();
        auto &item = m_items.at(hash);
        if (item.fresh) {
            m_repeated.pop_front();
            m_repeated.push_back(hash);
            continue;
        }
        if (item.remaining > 0 && !appendUpdate(datagram, item.update)) {
            return;
        }
        m_repeated.pop_front();
        if (item.remaining > 1) {
            --item.remaining;
            m_repeated.push_back(hash);
        } else {
            m_items.erase(hash);
        }
    }
}

} // namespace Hornbeam
