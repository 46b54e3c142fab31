#pragma once

#include <hornbeam/base/error.h>

#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace Hornbeam {

struct Settings;

/** Owns and connects the components of a hornbeamd process. Control thread only. */
class Node
{
public:
    /** Binds the listeners and creates the components. Returns the first failure; nothing stays bound then. */
    static Result<std::unique_ptr<Node>> make(const Settings &settings, asio::io_context &control);

    ~Node();

    /** Joins the mesh. Callers are served as soon as the node is ready. */
    void start();

    /** Leaves the mesh, drains the requests in flight within TrafficSettings::drainBound, then calls @p stopped. */
    void shutDown(std::function<void()> stopped);

private:
    class Impl;

    explicit Node(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace Hornbeam
