// Embeds the coordination libraries without the daemons: three nodes in one process form a mesh, and a
// configuration that the first node offers is distributed to the others. Exits with 0 when all nodes serve it, or with
// 1 if that takes longer than 20 s.

#include <hornbeam/base/asioruntime.h>
#include <hornbeam/base/metrics.h>
#include <hornbeam/base/randomid.h>
#include <hornbeam/dissemination/disseminator.h>
#include <hornbeam/membership/failuredetector.h>
#include <hornbeam/membership/udptransport.h>
#include <hornbeam/peer/grpcpeerclient.h>
#include <hornbeam/peer/grpcpeerserver.h>

#include <asio/io_context.hpp>

#include <algorithm>
#include <iostream>
#include <vector>

using namespace Hornbeam;

namespace {

constexpr auto zone = "turku";

// A loopback address that only this example uses, so that a port that is free for UDP is also free for TCP.
constexpr auto host = "127.77.0.1";

/** One node with all its components. Used only on the thread that runs the context. */
class Node
{
public:
    Node(asio::io_context &context, std::vector<Endpoint> seeds)
        : m_control(context)
        , m_timers(context)
        , m_transport(UdpTransport::make(context, Endpoint(host, 0), m_metrics).value())
        , m_client(
              GrpcPeerClient::make({.localAddress = host},
                                   {.context = context, .control = m_control, .timers = m_timers, .metrics = m_metrics})
                  .value())
        , m_disseminator(
              Disseminator::make(
                  {.id = m_id, .zone = zone, .advertisedAddress = address()},
                  {.peers = *m_client, .timers = m_timers, .table = m_table, .config = m_config, .metrics = m_metrics})
                  .value())
        , m_server(GrpcPeerServer::make({.listen = address()},
                                        {.context = context,
                                         .control = m_control,
                                         .timers = m_timers,
                                         .service = *m_disseminator,
                                         .metrics = m_metrics})
                       .value())
        , m_detector(FailureDetector::make(
                         {.id = m_id, .zone = zone, .advertisedAddress = address(), .seeds = std::move(seeds)},
                         {.transport = *m_transport, .timers = m_timers, .table = m_table, .metrics = m_metrics})
                         .value())
    {
        m_config.subscribe([this](const SnapshotPtr &snapshot) {
            m_detector->setConfig(snapshot->version(), snapshot->contentDigest().prefix());
        });
        m_detector->subscribeHeartbeats(
            [this](const Heartbeat &heartbeat) { m_disseminator->heartbeatReceived(heartbeat); });
        m_detector->subscribeJoined([this] { m_disseminator->membershipJoined(); });
        m_detector->start();
    }

    Endpoint address() const
    {
        return m_transport->localEndpoint();
    }

    /** Distributes a snapshot to the other nodes, as if an operator had confirmed it. */
    void offer(const SnapshotPtr &snapshot)
    {
        m_disseminator->setStoreHeadVersion(snapshot->version());
        m_disseminator->offer(snapshot, OfferSource::Confirmed);
    }

    /** Whether the node is ready and its current configuration has this version. */
    bool serves(ConfigVersion version) const
    {
        return m_disseminator->ready() && m_config.current()->version() == version;
    }

private:
    const std::string m_id = randomId();
    AsioExecutor m_control;
    AsioTimerService m_timers;
    MetricsRegistry m_metrics;
    MembershipTable m_table;
    SnapshotHolder m_config{m_metrics};
    std::unique_ptr<UdpTransport> m_transport;
    std::unique_ptr<GrpcPeerClient> m_client;
    std::unique_ptr<Disseminator> m_disseminator;
    std::unique_ptr<GrpcPeerServer> m_server;
    std::unique_ptr<FailureDetector> m_detector;
};

} // namespace

int main()
{
    asio::io_context context;
    Node first(context, {});
    Node second(context, {first.address()});
    Node third(context, {first.address()});

    const auto snapshot =
        Snapshot::make(1, {.services = {{.name = "rota"}}, .routes = {}, .leavingTargets = {}}).value();
    first.offer(snapshot);

    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    const auto allServe = [&] {
        return first.serves(1) && second.serves(1) && third.serves(1);
    };
    while (!allServe() && std::chrono::steady_clock::now() < deadline) {
        context.run_one_for(std::chrono::milliseconds(100));
    }
    std::cout << (allServe() ? "all nodes serve version 1\n" : "not all nodes serve version 1\n");
    return allServe() ? 0 : 1;
}
