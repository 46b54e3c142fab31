#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/error.h>

#include <memory>
#include <string>

// NOLINTNEXTLINE(readability-identifier-naming): the name is that of the library.
namespace asio {
class io_context;
}

namespace Hornbeam {

struct BaselineNodeOptions
{
    Endpoint listen; ///< Serves calls and /metrics.
    Endpoint store;
};

/**
 * The design that hornbeamring is compared with: each node watches the store itself and applies each version.
 * Answers GET /metrics with its metrics and every other GET with status 200, an empty body and the version in effect in
 * X-Hornbeam-Version; status 503 before it has one. It calls no target. Runs on the given io_context only.
 */
class BaselineNode
{
public:
    /** Binds and listens. Unavailable when the address cannot be bound. */
    static Result<std::unique_ptr<BaselineNode>> make(const BaselineNodeOptions &options, asio::io_context &context);

    ~BaselineNode();

    /** Starts to read and watch the store. */
    void start();

private:
    class Impl;
    explicit BaselineNode(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace Hornbeam
