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
class RequestLog;
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

    /** Reports that nothing listens at the address of a target on this host: its process has ended. */
    virtual void targetUnreachable(const Target & /*target*/) {}
};

/** What the proxy needs from the rest of the process. The referenced objects outlive the server. */
struct ProxyDependencies
{
    ClaimCoordinator &claims;
    CrashReporter &crashes;
    MetricsRegistry &metrics;
    RequestLog *log = nullptr; ///< Null for none.
};

/**
 * Serves callers over HTTP/1.1 on its own traffic threads.
 *
 * Every response carries X-Hornbeam-Version. Answers of the proxy itself also carry X-Hornbeam-Outcome:
 *
 * | outcome     | status                       | meaning                                                          |
 * | ----------- | ---------------------------- | ---------------------------------------------------------------- |
 * | not-run     | 400, 404, 408, 413, 422, 431 | The request was refused as it is; 422 is the crash quarantine.   |
 * | not-run     | 503 with Retry-After         | No slot, target, claim or connection; nothing was sent.          |
 * | not-run     | 504                          | The deadline passed before anything was sent.                    |
 * | in-progress | 409 with Retry-After         | Another attempt runs the non-idempotent request.                 |
 * | unknown     | 502, 504                     | A target may have run the request; an idempotent one may be sent |
 * |             |                              | again, a non-idempotent one (always 504) is never run again.     |
 * | replayed    | as recorded                  | The response of an earlier attempt. X-Hornbeam-Body: omitted     |
 * |             |                              | means that its body was too large to be recorded.                |
 *
 * A deadline in X-Hornbeam-Deadline-Ms covers the whole response. A caller that closes its sending side counts as
 * disconnected. A target's 503 with X-Hornbeam-Outcome: not-run states that it refused the request before it ran it; a
 * non-idempotent request may then be sent again.
 */
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

    /** The bound address of the relay listener; port 0 without one. */
    virtual Endpoint relayEndpoint() const = 0;

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
