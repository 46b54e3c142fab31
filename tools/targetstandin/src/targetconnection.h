#pragma once

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>

namespace Hornbeam {

class TargetServer;

/** Serves the requests of one connection until it is closed. */
asio::awaitable<void> serveTargetConnection(TargetServer &server, asio::ip::tcp::socket socket);

} // namespace Hornbeam
