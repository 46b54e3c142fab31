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
    Endpoint listen; ///< Address that the proxy listens on, for TCP and UDP.
    Endpoint forward; ///< Address of the process that connections and datagrams are forwarded to.
};

/** A listening address of the proxy whose connections and datagrams are forwarded to one process. */
class Link : public std::enable_shared_from_this<Link>
{
public:
    /** Binds the address and starts accepting. Returns Unavailable when it cannot be bound. */
    static Result<std::shared_ptr<Link>> make(ProxyContext &context, LinkOptions options);

    ~Link();

    /** Applies a new rule of kind Cut or Silent to the connections that are open now; ignores other kinds. */
    void applyToOpenConnections(const FaultRule &rule);

    const LinkOptions &options() const
    {
        return m_options;
    }

    std::size_t openConnections() const;

private:
    Link(ProxyContext &context, LinkOptions options);

    Result<bool> listen();
    asio::awaitable<void> accept();
    void addConnection(asio::ip::tcp::socket socket);

    ProxyContext &m_context;
    LinkOptions m_options;
    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<DatagramRelay> m_datagrams;
    std::vector<std::weak_ptr<RelayedConnection>> m_connections;
};

} // namespace Hornbeam
