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
    it->second.retransmissionsLeft = m_retransmissions;
    it->second.forwarded = false;
    if (!std::exchange(it->second.pending, true)) {
        m_pending.push_back(hash);
    }
    if (inserted) {
        m_retransmitQueue.push_back(hash);
    }
}

void UpdateQueue::takePending(Wire::Datagram &datagram)
{
    auto it = m_pending.begin();
    while (it != m_pending.end()) {
        auto &item = m_items.at(*it);
        // An update that does not fit into a datagram without other updates (it may have rumors) is skipped, because it
        // would block all others. It counts as forwarded; like the others, it gets a second round and retransmissions.
        if (!appendUpdate(datagram, item.update) && datagram.updates_size() > 0) {
            break;
        }
        item.pending = false;
        if (!std::exchange(item.forwarded, true) && m_retransmissions > 0) {
            m_awaitingSecondRound.push_back(*it);
        }
        ++it;
    }
    m_pending.erase(m_pending.begin(), it);
}

void UpdateQueue::startSecondRound()
{
    for (const auto hash : std::exchange(m_awaitingSecondRound, {})) {
        const auto item = m_items.find(hash);
        if (item != m_items.end() && !std::exchange(item->second.pending, true)) {
            m_pending.push_back(hash);
        }
    }
}

void UpdateQueue::piggyback(Wire::Datagram &datagram)
{
    for (auto n = m_retransmitQueue.size(); n > 0; --n) {
        const auto hash = m_retransmitQueue.front();
        auto &item = m_items.at(hash);
        if (item.pending) {
            m_retransmitQueue.pop_front();
            m_retransmitQueue.push_back(hash);
            continue;
        }
        if (item.retransmissionsLeft > 0 && !appendUpdate(datagram, item.update)) {
            return;
        }
        m_retransmitQueue.pop_front();
        if (item.retransmissionsLeft > 1) {
            --item.retransmissionsLeft;
            m_retransmitQueue.push_back(hash);
        } else {
            m_items.erase(hash);
        }
    }
}

} // namespace Hornbeam
