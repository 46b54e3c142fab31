#include "relayfixture.h"

namespace Hornbeam {

void RelayNode::start(const RelayNodeOptions &nodeOptions)
{
    ProxyOptions options;
    options.listen = Endpoint("127.0.0.1", 0);
    options.relayListen = Endpoint("127.0.0.1", 0);
    options.zone = "turku";
    options.threads = 1;
    options.headers = {.deadline = "Left-Ms",
                       .requestId = "Call-Id",
                       .signature = "Signed-By",
                       .expectedTarget = "For-Target",
                       .originService = "From-Service",
                       .notExecuted = "Not-Run",
                       .accountKey = "Client-Key",
                       .account = "Client-Name",
                       .targetLoad = "Load",
                       .fractionalRetryAfter = true};
    options.hostService = nodeOptions.hostService;
    options.nodeId = nodeOptions.nodeId;
    options.linkMegabitsPerSecond = nodeOptions.linkMegabits;
    options.routeTimeoutCapsDeadline = true;
    options.acceptUnframedResponses = true;
    options.quarantineStatus = 503;
    options.retryBudgetRatio = 0.2;
    options.retryBudgetReserve = 20;
    options.stopNotice = nodeOptions.stopNotice;
    options.drainBound = nodeOptions.drainBound;
    server = std::move(*ProxyServer::make(
        options,
        {.claims = claims, .crashes = crashes, .metrics = metrics, .log = nullptr, .limiter = nodeOptions.limiter}));
}

std::string signedResponse(const TestMessage &request, const std::string &body)
{
    return TestTarget::response("200 OK", body, "Signed-By: t\r\nCall-Id: " + request.header("call-id") + "\r\n");
}

TestTarget::Handler answerSigned(const std::string &body)
{
    return [body](const TestMessage &request, TestSocket &connection) {
        return connection.send(signedResponse(request, body));
    };
}

void RelayFixture::addTarget(const TestTarget &target, const std::string &name, std::uint32_t slots)
{
    nodes.push_back(std::make_unique<RelayNode>());
    nodes.back()->start(targetOptions);
    addTargetBehind(nodes.back()->server->relayEndpoint(), target, name, slots);
}

void RelayFixture::addTargetBehind(const Endpoint &gateway,
                                   const TestTarget &target,
                                   const std::string &name,
                                   std::uint32_t slots)
{
    Target it;
    it.address = target.address();
    it.service = "rota";
    it.zone = "turku";
    it.slots = slots;
    it.name = name;
    it.instance = 1;
    it.gateway = gateway;
    targets.push_back(it);
}

void RelayFixture::start()
{
    front = startCallerNode(frontOptions);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        publish(*nodes[i]->server, {targets[i]});
    }
}

std::unique_ptr<RelayNode> RelayFixture::startCallerNode(const RelayNodeOptions &nodeOptions) const
{
    auto node = std::make_unique<RelayNode>();
    node->start(nodeOptions);
    publish(*node->server, {});
    return node;
}

void RelayFixture::publish(ProxyServer &server, const std::vector<Target> &own) const
{
    SnapshotContent content;
    content.services = {{.name = "rota"}};
    Route read;
    read.name = "read";
    read.service = "rota";
    read.timeout = timeout;
    read.attempts = 2;
    auto book = read;
    book.name = "book";
    book.pathPrefix = "/book";
    book.idempotent = false;
    book.identity = RequestIdentitySource::Attempt;
    auto download = read;
    download.name = "export";
    download.pathPrefix = "/export";
    download.bulk = true;
    auto open = read;
    open.name = "open";
    open.pathPrefix = "/open";
    open.anonymous = true;
    content.routes = {read, book, download, open};
    content.accounts = accounts;
    auto state = std::make_shared<RoutingState>();
    state->snapshot = Snapshot::make(7, content).value();
    state->targets = targets;
    state->localTargets = own;
    state->ready = true;
    server.publish(state);
}

TestMessage RelayFixture::call(const std::string &method, const std::string &path, const std::string &headers)
{
    auto socket = TestSocket::connectTo(front->server->localEndpoint());
    socket.send(method + " " + path + " HTTP/1.1\r\nHost: rota.example\r\nCall-Id: c" + std::to_string(++nextId)
                + "\r\nContent-Length: 2\r\n" + headers + "\r\nhi");
    return socket.read().value_or(TestMessage());
}

} // namespace Hornbeam
