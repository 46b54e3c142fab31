#pragma once

#include <hornbeam/base/endpoint.h>

#include <memory>

namespace asio {
class io_context;
}

namespace Hornbeam {

class FaultProxy;

/** The HTTP control API: POST /control and GET /control/stats. Runs on the thread of the I/O context. */
class ControlServer
{
public:
    virtual ~ControlServer() = default;

    /** Binds @p listen and starts serving. Returns Unavailable when the address cannot be bound. */
    static Result<std::unique_ptr<ControlServer>> make(asio::io_context &io, const Endpoint &listen, FaultProxy &proxy);
};

} // namespace Hornbeam
