#include "callerexchange.h"

#include <algorithm>

namespace Hornbeam {

namespace {

/** Least time for writing a response that had to wait for earlier ones. */
constexpr auto minWriteTime = std::chrono::seconds(1);

} // namespace

CallerExchange::CallerExchange(CallerChannel &channel, bool pipelined)
    : m_channel(channel)
    , m_pipelined(pipelined)
    , m_position(channel.order.append())
    , m_received(channel.received)
    , m_head(channel.stream.reader().takeHead())
    , m_headShare(channel.headShare.take())
    , m_watch(channel.stream.socket())
{
}

CallerExchange::~CallerExchange()
{
    m_channel.order.finish(m_position);
}

asio::awaitable<void> CallerExchange::waitForTurn()
{
    if (!m_channel.order.hasTurn(m_position)) {
        co_await m_channel.order.waitForTurn(m_position);
        m_minDeadline = std::chrono::steady_clock::now() + minWriteTime;
    }
}

bool CallerExchange::decideKeepAlive(bool wanted)
{
    if (!m_channel.order.isLast(m_position)) {
        return true;
    }
    m_channel.closing = m_channel.closing || !wanted;
    return !m_channel.closing;
}

asio::awaitable<std::error_code> CallerExchange::write(std::span<const asio::const_buffer> buffers, TimePoint deadline)
{
    co_await waitForTurn();
    std::size_t n = 0;
    co_return co_await m_channel.stream.socket().write(buffers, std::max(deadline, m_minDeadline), n);
}

asio::awaitable<void> CallerExchange::finish()
{
    co_await waitForTurn();
    m_channel.order.finish(m_position);
}

} // namespace Hornbeam
