#pragma once

#include <hornbeam/base/error.h>

#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace Hornbeam {

struct Settings;

/** All parts of a hornbeamd process, connected. Control thread only. */
class Node
{
public:
    /** Binds the listeners and builds the parts; the first failure is returned and nothing stays bound. */
    static Result<std::unique_ptr<Node>> make(const Settings &settings, asio::io_context &control);

    ~Node();

    /** Joins the mesh and starts to serve. */
    void start();

    /** Leaves the mesh, finishes the running requests within the drain bound and then calls @p stopped. */
    void shutDown(std::function<void()> stopped);

private:
    class Impl;

    explicit Node(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace Hornbeam
