#pragma once

#include <hornbeam/base/endpoint.h>

#include <memory>

namespace asio {
class io_context;
}

namespace Hornbeam {

class FaultProxy;

/** The HTTP control API: POST /control and GET /control/stats. Runs on the context's thread. */
class ControlServer
{
public:
    virtual ~ControlServer() = default;

    /** Unavailable when the address cannot be bound. */
    static Result<std::unique_ptr<ControlServer>> make(asio::io_context &io, const Endpoint &listen, FaultProxy &proxy);
};

} // namespace Hornbeam
