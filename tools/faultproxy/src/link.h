#pragma once

#include "faultrule.h"

#include <hornbeam/base/endpoint.h>

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Hornbeam {

class DatagramRelay;
class RelayedConnection;
struct ProxyContext;

struct LinkOptions
{
    std::string name;
    Endpoint listen; ///< TCP and UDP.
    Endpoint forward; ///< Where connections and datagrams go.
};

/** An address that the proxy listens at on behalf of a process behind it. */
class Link : public std::enable_shared_from_this<Link>
{
public:
    /** Binds the addresses and starts to accept. Unavailable when an address is in use. */
    static Result<std::shared_ptr<Link>> make(ProxyContext &context, LinkOptions options);

    ~Link();

    /** Applies a new rule to the connections that exist now. */
    void applyToExisting(const FaultRule &rule);

    const LinkOptions &options() const
    {
        return m_options;
    }

    std::size_t openConnections() const;

private:
    Link(ProxyContext &context, LinkOptions options);

    Result<bool> listen();
    asio::awaitable<void> accept();
    void add(asio::ip::tcp::socket socket);

    ProxyContext &m_context;
    LinkOptions m_options;
    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<DatagramRelay> m_datagrams;
    std::vector<std::weak_ptr<RelayedConnection>> m_connections;
};

} // namespace Hornbeam
