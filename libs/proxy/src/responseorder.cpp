#include "responseorder.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace Hornbeam {

ResponseOrder::ResponseOrder(const asio::any_io_executor &executor)
    : m_changed(executor, asio::steady_timer::time_point::max())
{
}

std::uint64_t ResponseOrder::append()
{
    m_finished.push_back(false);
    return m_first + m_finished.size() - 1;
}

asio::awaitable<void> ResponseOrder::waitForTurn(std::uint64_t position)
{
    while (!hasTurn(position)) {
        co_await waitForChange();
    }
}

void ResponseOrder::finish(std::uint64_t position)
{
    if (position < m_first) {
        return;
    }
    m_finished[position - m_first] = true;
    while (!m_finished.empty() && m_finished.front()) {
        m_finished.pop_front();
        ++m_first;
    }
    m_changed.cancel();
}

asio::awaitable<void> ResponseOrder::waitForPending(std::size_t n)
{
    while (pending() > n) {
        co_await waitForChange();
    }
}

asio::awaitable<void> ResponseOrder::waitForChange()
{
    std::error_code ignored;
    co_await m_changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace Hornbeam
