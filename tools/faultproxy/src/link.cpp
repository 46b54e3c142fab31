#include "link.h"

#include "datagramrelay.h"
#include "proxycontext.h"
#include "relayedconnection.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>

namespace Hornbeam {

namespace {

using asio::ip::tcp;
using asio::ip::udp;

constexpr std::size_t maxConnections = 4096; ///< Per link; further connections are closed.

template <typename Protocol>
typename Protocol::endpoint toAsio(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address()), endpoint.port()};
}

} // namespace

Link::Link(ProxyContext &context, LinkOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_acceptor(context.io)
    , m_datagrams(std::make_shared<DatagramRelay>(context, m_options.name, toAsio<udp>(m_options.forward)))
{
}

Link::~Link()
{
    m_datagrams->close();
}

Result<std::shared_ptr<Link>> Link::make(ProxyContext &context, LinkOptions options)
{
    std::shared_ptr<Link> link(new Link(context, std::move(options)));
    const auto listening = link->listen();
    if (!listening) {
        return tl::unexpected(listening.error());
    }
    link->m_datagrams->start();
    asio::co_spawn(
        context.io, [link] { return link->accept(); }, asio::detached);
    return link;
}

void Link::applyToOpenConnections(const FaultRule &rule)
{
    for (const auto &weak : m_connections) {
        const auto connection = weak.lock();
        if (!connection || rule.protocol == ProtocolFilter::Udp || !rule.matches(connection->flow())) {
            continue;
        }
        if (rule.kind == FaultKind::Cut) {
            connection->reset();
        }
        if (rule.kind == FaultKind::Silent) {
            connection->silence(rule.direction);
        }
    }
}

std::size_t Link::openConnections() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), [](const auto &weak) { return !weak.expired(); }));
}

Result<bool> Link::listen()
{
    const auto endpoint = toAsio<tcp>(m_options.listen);
    std::error_code ec;
    m_acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        m_acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return makeError(ErrorCode::Unavailable,
                         "cannot bind the TCP socket of link " + m_options.name + ": " + ec.message());
    }
    return m_datagrams->listen(toAsio<udp>(m_options.listen));
}

asio::awaitable<void> Link::accept()
{
    while (m_acceptor.is_open()) {
        std::error_code ec;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (!ec) {
            addConnection(std::move(socket));
        }
    }
}

void Link::addConnection(tcp::socket socket)
{
    std::erase_if(m_connections, [](const auto &weak) { return weak.expired(); });
    std::error_code ec;
    const auto source = socket.remote_endpoint(ec).address().to_string();
    if (ec || m_connections.size() >= maxConnections) {
        return;
    }
    const auto connection = std::make_shared<RelayedConnection>(
        m_context, Flow{.source = source, .link = m_options.name}, std::move(socket), toAsio<tcp>(m_options.forward));
    m_connections.push_back(connection);
    connection->start();
}

} // namespace Hornbeam
