#include "linkqueue.h"

#include <utility>

namespace Hornbeam {

std::uint64_t LinkQueue::nextResponse()
{
    const std::lock_guard lock(m_mutex);
    return m_nextResponse++;
}

void LinkQueue::enter(const Ticket &ticket, std::function<void()> granted)
{
    const std::lock_guard lock(m_mutex);
    if (m_granted) {
        m_waiting.emplace(ticket, std::move(granted));
    } else {
        m_granted = ticket;
    }
}

bool LinkQueue::isGranted(const Ticket &ticket) const
{
    const std::lock_guard lock(m_mutex);
    return m_granted == ticket;
}

void LinkQueue::change(const Ticket &ticket, const Ticket &changed)
{
    const std::lock_guard lock(m_mutex);
    if (m_granted == ticket) {
        m_granted = changed;
    } else if (auto piece = m_waiting.extract(ticket)) {
        piece.key() = changed;
        m_waiting.insert(std::move(piece));
    }
}

void LinkQueue::leave(const Ticket &ticket)
{
    std::function<void()> granted;
    {
        const std::lock_guard lock(m_mutex);
        if (m_granted != ticket) {
            m_waiting.erase(ticket);
            return;
        }
        m_granted.reset();
        if (m_waiting.empty()) {
            return;
        }
        auto next = m_waiting.extract(m_waiting.begin());
        m_granted = next.key();
        granted = std::move(next.mapped());
    }
    granted();
}

} // namespace Hornbeam
