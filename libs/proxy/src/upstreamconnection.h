#pragma once

#include "httpstream.h"

#include <hornbeam/base/endpoint.h>

#include <memory>

namespace Hornbeam {

/** A connection to a target. */
struct UpstreamConnection
{
    UpstreamConnection(Endpoint address, TimedSocket socket, std::size_t maxHeaderBytes, TimePoint now)
        : target(std::move(address))
        , stream(std::move(socket), HttpMessageReader::Kind::Response, maxHeaderBytes)
        , lastAlive(now)
    {
    }

    /** Takes the idle time that the target grants from its response. */
    void noteResponse(TimePoint now);

    Endpoint target;
    HttpStream stream;
    TimePoint lastAlive; ///< When the target last answered on it.
    Duration idleTimeout = Duration::max(); ///< How long the target keeps it open without a request.
    bool reused = false; ///< It has served a request before.
};

using UpstreamConnectionPtr = std::unique_ptr<UpstreamConnection>;

} // namespace Hornbeam
