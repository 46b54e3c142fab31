#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/error.h>
#include <hornbeam/proxy/proxyoptions.h>
#include <hornbeam/proxy/routingstate.h>

#include <functional>
#include <memory>
#include <string>

namespace Hornbeam {

class ClaimCoordinator;
class MetricsRegistry;
class OutcomeLedger;
class RequestLimiter;
class RequestLog;
class Digest;

/** Receives reports about targets that crash or cannot be reached. Called from traffic threads. */
class CrashReporter
{
public:
    virtual ~CrashReporter() = default;

    /** Reports that @p target closed its connection while it was running the request with this digest. */
    virtual void targetCrashed(const Digest &request, const Endpoint &target) = 0;

    /**
     * Reports that a target of any node responded to a request during which a target has crashed recently, on this node
     * or on another. The request did not cause that crash.
     */
    virtual void requestSucceeded(const Digest & /*request*/) {}

    /** Reports that nothing listens at the address of a target on this host, so its process has ended. */
    virtual void targetUnreachable(const Target & /*target*/) {}
};

/** Objects that the proxy uses. The referenced objects must outlive the server. */
struct ProxyDependencies
{
    ClaimCoordinator &claims;
    CrashReporter &crashes;
    MetricsRegistry &metrics;
    RequestLog *log = nullptr; ///< Null for no request log.
    RequestLimiter *limiter = nullptr; ///< Null for no rate limits of client accounts.
    OutcomeLedger *outcomes = nullptr; ///< Counts the results of the targets on this host; null for none.
};

/**
 * Serves callers over HTTP/1.1 on its own traffic threads.
 *
 * Every response carries X-Hornbeam-Version. Responses that the proxy generates also carry
 * X-Hornbeam-Outcome:
 *
 * | outcome     | status                  | meaning                                                               |
 * | ----------- | ----------------------- | --------------------------------------------------------------------- |
 * | not-run     | 400, 404, 408, 413, 431 | The request itself was refused.                                       |
 * | not-run     | 429 with Retry-After    | The client account has reached its rate limit on all nodes together.  |
 * | not-run     | quarantineStatus        | Quarantined after crashes; see ProxyOptions::quarantineStatus.        |
 * | not-run     | 503                     | Not ready; no service, slot, target, claim or connection; a service   |
 * |             |                         | that the request calls is busy; or each target that was tried refused |
 * |             |                         | the request. With Retry-After, unless the configuration does not have |
 * |             |                         | the service.                                                          |
 * | not-run     | 502, 504                | Only for a non-idempotent request: the connection broke or a time     |
 * |             |                         | limit passed before anything was sent.                                |
 * | in-progress | 409 with Retry-After    | Another attempt is running the non-idempotent request.                |
 * | unknown     | 400, 502, 503, 504      | A target may have run the request. 400: the rest of its body was      |
 * |             |                         | invalid, too large or did not arrive. 503, with Retry-After: after an |
 * |             |                         | attempt that may have run it, a further one could not connect.        |
 * |             |                         | An idempotent request may be sent again. A non-idempotent one is      |
 * |             |                         | never run again; its status is 504 unless its route has               |
 * |             |                         | RequestIdentitySource::Attempt.                                       |
 * | replayed    | as recorded             | The recorded response of an earlier attempt; X-Hornbeam-Body:         |
 * |             |                         | omitted means that its body was too large to be recorded.             |
 *
 * The deadline in X-Hornbeam-Deadline-Ms applies to the whole response. A caller that shuts down its sending side
 * counts as disconnected. With a 503 and X-Hornbeam-Outcome: not-run, a target states that it refused the request
 * without running it; even a non-idempotent request may then be sent again.
 */
class ProxyServer
{
public:
    /** Binds the listening sockets and starts the threads. Fails with Unavailable if an address cannot be bound. */
    static Result<std::unique_ptr<ProxyServer>> make(ProxyOptions options, ProxyDependencies dependencies);

    virtual ~ProxyServer() = default;

    /** Sets the state for requests that arrive from now on. Any thread. */
    virtual void publish(RoutingStatePtr state) = 0;

    /** The bound address; for port 0 in the options, with the port that the system chose. */
    virtual Endpoint localEndpoint() const = 0;

    /** The bound address of the relay listener; port 0 if there is none. */
    virtual Endpoint relayEndpoint() const = 0;

    /**
     * Starts a graceful shutdown: sends "Connection: close" with responses, accepts no new connections after
     * ProxyOptions::stopNotice and lets running requests finish. The deadline of a request that arrives from now on is
     * at most the end of ProxyOptions::drainBound; one that is not expected to end by then is refused as not run. Calls
     * @p drained once from a traffic thread when ProxyOptions::stopNotice has passed and no request and no connection
     * is left, or when ProxyOptions::drainBound has passed. The requests that are then still in progress are logged and
     * counted as interrupted. The callback must not destroy the server.
     */
    virtual void drain(std::function<void()> drained) = 0;

    /**
     * Tells that the node with this ProxyOptions::nodeId has begun a graceful shutdown. The deadlines of the requests
     * that it has relayed to this node are moved to the end of its shutdown, so that their responses go first on a
     * slow link. Any thread.
     */
    virtual void peerStops(const std::string &nodeId) = 0;

    /** Number of requests in progress. */
    virtual std::size_t requestsInFlight() const = 0;

    /** The state of the proxy for diagnostics, as a JSON object. */
    virtual std::string dumpJson() const = 0;
};

} // namespace Hornbeam
