#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/error.h>

#include <chrono>
#include <cstddef>
#include <memory>

// NOLINTNEXTLINE(readability-identifier-naming): the name is that of the library.
namespace asio {
class io_context;
}

namespace Hornbeam {

class AdminExtension;
class AnnouncementApi;
class OperatorApi;
class StatusApi;

struct AdminServerOptions
{
    Endpoint listen; ///< Port 0 lets the system choose.
    /**
     * Limit of a request body; 1..67108864. A larger body for a built-in resource is refused with status 413. For all
     * resources, including those of an extension, a body that exceeds the limit by more than 64 KiB closes the
     * connection without a response.
     */
    std::size_t maxBodyBytes = 4U << 20;
    /** Further connections wait in the listen backlog. Each may hold a body, so they bound the memory. 1..10000. */
    std::size_t maxConnections = 16;
    std::chrono::milliseconds requestTimeout{60000}; ///< Closes a connection whose request is not answered by then.
};

/** The APIs that the server exposes. The referenced objects must outlive the server and the requests in progress. */
struct AdminDependencies
{
    OperatorApi &operators;
    AnnouncementApi &announcements;
    StatusApi &status;
    AdminExtension *extension = nullptr; ///< Takes precedence over the built-in resources; null for none.
};

/**
 * Serves the operator API, announcements and status over HTTP/1.1 with JSON. Runs on the given io_context and calls its
 * dependencies there; create and destroy it on the thread that runs the context, or while the context does not run.
 *
 *   POST /v1/plans               creates a plan from an intent and returns it
 *   GET /v1/plans/<id>           the plan
 *   POST /v1/plans/<id>/confirm  {"version"}; 409 with "currentVersion", "changes" and "refusals" on a conflict
 *   GET /v1/config               the configuration in effect on this node
 *   GET /v1/rollout/<version>    {"version", "knownNodes", "nodesWithVersion", "complete", "behind"}
 *   GET /v1/targets              {"targets"}, those of all nodes
 *   PUT /v1/targets/<address>    an Announcement
 *   DELETE /v1/targets/<address>
 *   GET /metrics, /dump, /healthz
 *
 * Errors are {"error": {"code", "message", "path"}}, where the path locates the JSON value that is at fault, if any.
 * The response to an invalid body also lists its first 100 faults in "problems". Status 504 means that the outcome of
 * the request is unknown.
 */
class AdminServer
{
public:
    /** Binds and listens. Unavailable when the address cannot be bound, InvalidArgument for options out of range. */
    static Result<std::unique_ptr<AdminServer>> make(asio::io_context &context,
                                                     AdminServerOptions options,
                                                     AdminDependencies dependencies);

    virtual ~AdminServer() = default;

    /** The bound address, with the port chosen by the system if port 0 was asked for. */
    virtual Endpoint localEndpoint() const = 0;
};

} // namespace Hornbeam
