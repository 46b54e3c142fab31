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
    Endpoint listen; ///< Address for requests and /metrics.
    Endpoint store;
};

/**
 * Node of the baseline design that hornbeamring is compared with: every node watches the store itself.
 * Responds to GET /metrics with its metrics, and to every other GET with an empty body and its current configuration
 * version in X-Hornbeam-Version; the status is 200, or 503 while it has no configuration. It does not proxy requests to
 * targets. Runs on the thread of the given io_context.
 */
class BaselineNode
{
public:
    /** Starts to listen. Returns the error Unavailable when the address cannot be bound. */
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
