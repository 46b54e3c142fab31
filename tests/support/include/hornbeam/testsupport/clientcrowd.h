#pragma once

#include <hornbeam/base/endpoint.h>

#include <cstddef>
#include <memory>
#include <string>

namespace Hornbeam {

/** Many TCP connections to one listener that send bytes outside the limits of clients. Use it on one thread. */
class ClientCrowd
{
public:
    /** What each connection sends. */
    struct Script
    {
        std::string head; ///< Sent first.
        std::string piece; ///< Repeated after the head; may be empty.
        std::size_t pieces = 0; ///< Number of repetitions.
    };

    ClientCrowd();
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    /** Opens @p n more connections; returns the number that could be opened. */
    std::size_t connect(const Endpoint &listener, std::size_t n);

    /**
     * Sends the script on all connections side by side and reads nothing. Returns when each connection has sent all of
     * it, was closed by the peer, or has accepted no byte for some time.
     */
    void send(const Script &script);

    /** Sends @p byte on each connection once, without waiting; connections that the peer closed are skipped. */
    void sendByte(char byte);

    /** Number of connections that the peer has not closed or reset. */
    std::size_t openCount();

    /** Closes all connections. */
    void close();

private:
    class Connection;
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Hornbeam
