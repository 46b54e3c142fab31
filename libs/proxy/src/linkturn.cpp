#include "linkturn.h"

#include "timerwake.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace Hornbeam {

LinkTurn::LinkTurn(LinkQueue &queue, const LinkQueue::Ticket &ticket, const std::shared_ptr<asio::io_context> &context)
    : m_queue(queue)
    , m_timer(std::make_shared<asio::steady_timer>(*context, ticket.deadline))
    , m_ticket(ticket)
{
    queue.enter(ticket, makeTimerWake(context, m_timer));
}

LinkTurn::~LinkTurn()
{
    m_queue.leave(m_ticket);
}

void LinkTurn::limitDeadline(TimePoint deadline)
{
    const LinkQueue::Ticket limited{.deadline = deadline, .response = m_ticket.response};
    m_queue.change(m_ticket, limited);
    m_ticket = limited;
}

asio::awaitable<void> LinkTurn::wait()
{
    m_hasWaited = !m_queue.isGranted(m_ticket);
    if (m_hasWaited) {
        std::error_code ignored;
        co_await m_timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace Hornbeam
