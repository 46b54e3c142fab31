#pragma once

#include "httpstream.h"

#include <hornbeam/base/endpoint.h>

#include <memory>

namespace Hornbeam {

/** A connection to a target, or to the node of a target. */
struct UpstreamConnection
{
    UpstreamConnection(Endpoint address, TimedSocket socket, std::size_t maxHeaderBytes, TimePoint now)
        : target(std::move(address))
        , stream(std::move(socket), HttpMessageReader::Kind::Response, maxHeaderBytes)
        , lastResponse(now)
    {
    }

    /** Records when the target responded and the idle timeout from the Keep-Alive header of its response. */
    void recordResponse(TimePoint now);

    Endpoint target;
    HttpStream stream;
    TimePoint lastResponse; ///< When the target last responded, or when the connection was opened.
    Duration idleTimeout = Duration::max(); ///< How long the target keeps the connection open without a request.
    bool reused = false; ///< The connection comes from the pool.
};

using UpstreamConnectionPtr = std::unique_ptr<UpstreamConnection>;

} // namespace Hornbeam
