#pragma once

#include "proxyfixture.h"

#include <memory>
#include <string>
#include <vector>

namespace Hornbeam {

/** Options of a RelayNode that differ between tests. */
struct RelayNodeOptions
{
    std::string hostService;
    std::string nodeId{};
    double linkMegabits = 0; ///< Capacity of the host's link; 0 for no pacing.
    std::chrono::milliseconds stopNotice{500};
    std::chrono::milliseconds drainBound{30000};
    RequestLimiter *limiter = nullptr;
};

/** A node with a relay listener. */
struct RelayNode
{
    FakeClaims claims;
    FakeCrashReporter crashes;
    MetricsRegistry metrics;
    std::unique_ptr<ProxyServer> server;

    void start(const RelayNodeOptions &nodeOptions);
};

/** A response that is signed by the target, as nodes require it in a RelayFixture. */
std::string signedResponse(const TestMessage &request, const std::string &body);

/** Handler of a target that responds to each request with signedResponse(). */
TestTarget::Handler answerSigned(const std::string &body);

/**
 * Nodes with relay listeners: callers connect to the front node, and each target is on the host of another one.
 * Requests are idempotent, except below /book; responses below /export are large; requests below /open need no account.
 */
class RelayFixture
{
public:
    std::unique_ptr<RelayNode> front;
    std::vector<std::unique_ptr<RelayNode>> nodes;
    std::vector<Target> targets;
    RelayNodeOptions frontOptions{.hostService = "desk"};
    std::chrono::milliseconds timeout{3000};
    std::vector<ClientAccount> accounts{};
    RelayNodeOptions targetOptions{.hostService = "rota"}; ///< Of the nodes that are added from now on.
    int nextId = 0; ///< Request ids of call() are "c1", "c2" and so on.

    /** Adds a target behind @p gateway, the relay listener of a node or a stand-in for one. */
    void addTargetBehind(const Endpoint &gateway,
                         const TestTarget &target,
                         const std::string &name,
                         std::uint32_t slots);

    /** Adds a target that only its own node can reach. */
    void addTarget(const TestTarget &target, const std::string &name, std::uint32_t slots = 10);

    /** Starts the front node and publishes the targets to all nodes. */
    void start();

    /** Starts a further node to which callers can connect. */
    std::unique_ptr<RelayNode> startCallerNode(const RelayNodeOptions &nodeOptions) const;

    void publish(ProxyServer &server, const std::vector<Target> &own) const;

    /** Sends one request with a body to the front node and returns the response, without content if there is none. */
    TestMessage call(const std::string &method, const std::string &path, const std::string &headers = {});
};

} // namespace Hornbeam
