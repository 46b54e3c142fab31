#pragma once

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>

namespace Hornbeam {

/**
 * Keeps the responses of a connection in the order of its requests: each request has a position, and only the first
 * unfinished position may write. Use it only on the thread that runs its executor.
 */
class ResponseOrder
{
public:
    explicit ResponseOrder(const asio::any_io_executor &executor);
    ResponseOrder(const ResponseOrder &) = delete;
    ResponseOrder &operator=(const ResponseOrder &) = delete;

    /** Position of the next request. */
    std::uint64_t append();

    /** Waits until all positions before @p position are finished. */
    asio::awaitable<void> waitForTurn(std::uint64_t position);

    /** Finishes @p position. Has no effect if it is finished. */
    void finish(std::uint64_t position);

    /** Waits until at most @p n positions are unfinished. */
    asio::awaitable<void> waitForPending(std::size_t n);

    /** Number of positions from the first unfinished one. */
    std::size_t pending() const
    {
        return m_finished.size();
    }

    /** Whether all positions before @p position are finished. */
    bool hasTurn(std::uint64_t position) const
    {
        return position == m_first;
    }

    /** Whether no position follows @p position. */
    bool isLast(std::uint64_t position) const
    {
        return position + 1 == m_first + m_finished.size();
    }

private:
    asio::awaitable<void> waitForChange();

    asio::steady_timer m_changed; ///< Never expires; finish() cancels the waits.
    std::uint64_t m_first = 0; ///< The first unfinished position.
    std::deque<bool> m_finished; ///< One per position from the first unfinished one.
};

} // namespace Hornbeam
