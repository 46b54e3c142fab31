#include "nodeoptions.h"

#include <hornbeam/platform/headers.h>

namespace Hornbeam {

namespace {

using namespace std::chrono_literals;

// Upper bound of the random delay before the join, so that nodes that start at the same time do not contact the seeds
// all at once.
constexpr auto joinJitter = 100ms;

} // namespace

ProxyOptions proxyOptions(const Settings &settings, const std::string &id)
{
    const auto &traffic = settings.traffic;
    ProxyOptions options{.listen = traffic.listen,
                         .zone = settings.node.zone,
                         .threads = traffic.threads,
                         .maxConnections = traffic.maxConnections,
                         .maxHeaderBytes = traffic.maxHeaderBytes,
                         .maxQueuedRequests = traffic.maxQueuedRequests,
                         .idleTimeout = traffic.idleTimeout,
                         .drainBound = traffic.drainBound,
                         .retryBudgetPercent = traffic.retryBudgetPercent,
                         .slowStart = traffic.slowStart};
    options.nodeId = id;
    options.relayListen = traffic.relayListen;
    options.hostService = settings.node.targetService;
    options.retryBudgetRatio = traffic.retryBudgetRatio;
    options.retryBudgetReserve = traffic.retryBudgetReserve;
    options.maxBufferedBytes = traffic.maxBufferedBytes;
    options.stopNotice = traffic.stopNotice;
    options.linkMegabitsPerSecond = traffic.linkMegabitsPerSecond;
    options.targetPace = traffic.targetPace;
    if (settings.environment == Environment::Platform) {
        options.headers = Platform::headerNames();
        options.routeTimeoutCapsDeadline = true;
        options.acceptUnframedResponses = true;
        options.quarantineStatus = 503;
    }
    return options;
}

HttpStoreOptions storeOptions(const Settings &settings)
{
    return {.endpoints = settings.store.endpoints,
            .localAddress = settings.peer.listen.address(),
            .requestTimeout = settings.store.requestTimeout};
}

FailureDetectorOptions detectorOptions(const Settings &settings, const std::string &id)
{
    return {.id = id,
            .zone = settings.node.zone,
            .advertisedAddress = settings.peer.advertise,
            .seeds = settings.peer.seeds,
            .joinJitter = joinJitter};
}

DisseminatorOptions disseminatorOptions(const Settings &settings, const std::string &id)
{
    return {.id = id, .zone = settings.node.zone, .advertisedAddress = settings.peer.advertise};
}

} // namespace Hornbeam
