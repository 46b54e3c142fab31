#pragma once

#include "linkqueue.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <memory>

namespace Hornbeam {

/** The place of one piece of a large response in the LinkQueue, which it leaves when it is destroyed. */
class LinkTurn
{
public:
    /** Enters the queue. @p context: the io_context of the thread that waits. */
    LinkTurn(LinkQueue &queue, const LinkQueue::Ticket &ticket, const std::shared_ptr<asio::io_context> &context);
    LinkTurn(const LinkTurn &) = delete;
    LinkTurn &operator=(const LinkTurn &) = delete;
    ~LinkTurn();

    /** Waits until the link is granted or the deadline at the construction has passed. */
    asio::awaitable<void> wait();

    /** Moves the piece forward in the queue for an earlier deadline. */
    void limitDeadline(TimePoint deadline);

    /** Whether the link was not granted at once. */
    bool hasWaited() const
    {
        return m_hasWaited;
    }

private:
    LinkQueue &m_queue;
    const std::shared_ptr<asio::steady_timer> m_timer;
    LinkQueue::Ticket m_ticket;
    bool m_hasWaited = false;
};

} // namespace Hornbeam
