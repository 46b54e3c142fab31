#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/error.h>
#include <hornbeam/proxy/proxyoptions.h>
#include <hornbeam/proxy/routingstate.h>

#include <functional>
#include <memory>

namespace Hornbeam {

class ClaimCoordinator;
class MetricsRegistry;
class Digest;

/** Told about requests whose target's connection broke before a response. Called from traffic threads. */
class CrashReporter
{
public:
    virtual ~CrashReporter() = default;

    /** Reports that @p target closed its connection while it ran the request with this digest. */
    virtual void targetCrashed(const Digest &request, const Endpoint &target) = 0;

    /** Reports that a target answered a request that was under way during a recent crash; it did not cause that one. */
    virtual void requestSucceeded(const Digest & /*request*/) {}
};

/** What the proxy needs from the rest of the process. The referenced objects outlive the server. */
struct ProxyDependencies
{
    ClaimCoordinator &claims;
    CrashReporter &crashes;
    MetricsRegistry &metrics;
};

/** Serves callers over HTTP/1.1 on its own traffic threads. */
class ProxyServer
{
public:
    /** Binds the listening socket and starts the threads. Unavailable when the address cannot be bound. */
    static Result<std::unique_ptr<ProxyServer>> make(ProxyOptions options, ProxyDependencies dependencies);

    virtual ~ProxyServer() = default;

    /** Publishes the state for requests that start from now on. Any thread. */
    virtual void publish(RoutingStatePtr state) = 0;

    /** The bound address, with the port chosen by the system if port 0 was asked for. */
    virtual Endpoint localEndpoint() const = 0;

    /**
     * Starts a graceful shutdown: no new connections, responses carry "Connection: close", running requests finish.
     * Calls @p drained once from a traffic thread when no request is left, at the latest after the drain bound.
     * The callback must not destroy the server.
     */
    virtual void drain(std::function<void()> drained) = 0;

    /** Requests that are running now. */
    virtual std::size_t requestsInFlight() const = 0;

    /** The state dump of the proxy as a JSON object. */
    virtual std::string dumpJson() const = 0;
};

} // namespace Hornbeam
