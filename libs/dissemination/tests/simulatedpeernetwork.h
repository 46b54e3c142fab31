#pragma once

#include <hornbeam/base/faketimerservice.h>
#include <hornbeam/base/metrics.h>
#include <hornbeam/dissemination/disseminator.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Hornbeam {

class SimulatedPeerNetwork;

/** Sends the requests of one node through a SimulatedPeerNetwork. */
class SimulatedPeerClient : public PeerClient
{
public:
    SimulatedPeerClient(SimulatedPeerNetwork &network, Endpoint self)
        : m_network(network)
        , m_self(std::move(self))
    {
    }

    void push(const Endpoint &peer, PushRequest request, Duration timeout, Callback<PushReply> callback) override;
    void fetch(const Endpoint &peer, FetchRequest request, Duration timeout, Callback<FetchReply> callback) override;

private:
    SimulatedPeerNetwork &m_network;
    Endpoint m_self;
};

/** A node in a SimulatedPeerNetwork. */
struct SimulatedPeer
{
    SimulatedPeer(SimulatedPeerNetwork &network,
                  const std::string &nodeId,
                  const std::string &nodeZone,
                  std::uint16_t port);

    ConfigVersion version() const
    {
        return config.current()->version();
    }

    std::string id;
    std::string zone;
    Endpoint address;
    MetricsRegistry metrics;
    MembershipTable table;
    SnapshotHolder config{metrics};
    SimulatedPeerClient client;
    std::unique_ptr<Disseminator> disseminator;
    int pushesReceived = 0;
};

/**
 * Nodes that exchange requests and heartbeats with a latency of 1 ms per direction. Every node has all others in its
 * table. There is no failure detection: a node that does not answer stays in all tables.
 */
class SimulatedPeerNetwork
{
public:
    SimulatedPeer &add(const std::string &id, const std::string &zone, std::uint16_t port)
    {
        nodes.push_back(std::make_unique<SimulatedPeer>(*this, id, zone, port));
        auto &added = *nodes.back();
        for (const auto &node : nodes) {
            addToTable(*node, added);
            addToTable(added, *node);
        }
        return added;
    }

    void makeCluster(std::uint16_t count, std::uint16_t zones)
    {
        for (std::uint16_t i = 0; i < count; ++i) {
            add("node-" + std::to_string(i), "zone-" + std::to_string(i % zones), 1000 + i);
        }
        m_heartbeats = time.every(std::chrono::seconds(1), [this] { sendHeartbeats(); });
    }

    /** Whether a message from @p from to @p to is lost. */
    bool isLost(const Endpoint &from, const Endpoint &to) const
    {
        return unresponsive.contains(from.port()) || unresponsive.contains(to.port()) || (drop && drop(from, to));
    }

    void schedule(Duration delay, std::function<void()> work)
    {
        const auto id = ++m_lastEvent;
        m_events[id] = time.once(delay, [this, id, work = std::move(work)] {
            work();
            m_events.erase(id);
        });
    }

    SimulatedPeer *find(const Endpoint &address) const
    {
        for (const auto &node : nodes) {
            if (node->address == address) {
                return node.get();
            }
        }
        return nullptr;
    }

    std::size_t countWith(ConfigVersion version) const
    {
        std::size_t n = 0;
        for (const auto &node : nodes) {
            n += node->version() == version ? 1 : 0;
        }
        return n;
    }

    /** Sends a request: calls @p handle at the peer, then @p answered with its reply or with a timeout error. */
    template <typename Reply>
    void call(const Endpoint &from,
              const Endpoint &to,
              Duration timeout,
              std::function<Reply(SimulatedPeer &)> handle,
              PeerClient::Callback<Reply> answered)
    {
        const auto done = std::make_shared<bool>(false);
        const auto finish = [done, answered](Result<Reply> reply) {
            if (!std::exchange(*done, true)) {
                answered(std::move(reply));
            }
        };
        schedule(timeout, [finish] { finish(makeError(ErrorCode::OutcomeUnknown, "timeout")); });
        schedule(latency, [this, from, to, handle, finish] {
            auto *peer = find(to);
            if (!peer || isLost(from, to)) {
                return;
            }
            const auto reply = handle(*peer);
            schedule(latency, [this, from, to, finish, reply] {
                if (!isLost(to, from)) {
                    finish(reply);
                }
            });
        });
    }

    static constexpr auto latency = std::chrono::milliseconds(1);

    FakeTimerService time;
    std::vector<std::unique_ptr<SimulatedPeer>> nodes;
    std::set<std::uint16_t> unresponsive; ///< Ports of nodes whose messages are all lost.
    std::function<bool(const Endpoint &, const Endpoint &)> drop; ///< Drops messages for which it returns true.

private:
    static void addToTable(SimulatedPeer &viewer, const SimulatedPeer &other)
    {
        Member member{.id = other.id, .zone = other.zone, .peerAddress = other.address, .incarnation = 1};
        member.configVersion = other.version();
        viewer.table.merge(member);
    }

    void sendHeartbeats()
    {
        for (const auto &sender : nodes) {
            const auto &receiver = *nodes[m_random() % nodes.size()];
            sendHeartbeat(*sender, receiver);
            sendHeartbeat(receiver, *sender);
        }
    }

    void sendHeartbeat(const SimulatedPeer &sender, const SimulatedPeer &receiver)
    {
        if (&sender == &receiver || isLost(sender.address, receiver.address)) {
            return;
        }
        const Heartbeat beat{.id = sender.id,
                             .peerAddress = sender.address,
                             .configVersion = sender.version(),
                             .configDigestPrefix = sender.config.current()->contentDigest().prefix()};
        find(receiver.address)->table.recordConfigVersion(memberHash(sender.id), beat.configVersion);
        find(receiver.address)->disseminator->heartbeatReceived(beat);
    }

    std::mt19937 m_random{5};
    std::uint64_t m_lastEvent = 0;
    std::map<std::uint64_t, TimerHandle> m_events;
    TimerHandle m_heartbeats;
};

inline void SimulatedPeerClient::push(const Endpoint &peer,
                                      PushRequest request,
                                      Duration timeout,
                                      Callback<PushReply> callback)
{
    m_network.call<PushReply>(
        m_self,
        peer,
        timeout,
        [request](SimulatedPeer &node) {
            ++node.pushesReceived;
            return node.disseminator->handlePush(request);
        },
        std::move(callback));
}

inline void SimulatedPeerClient::fetch(const Endpoint &peer,
                                       FetchRequest request,
                                       Duration timeout,
                                       Callback<FetchReply> callback)
{
    m_network.call<FetchReply>(
        m_self,
        peer,
        timeout,
        [request](SimulatedPeer &node) { return node.disseminator->handleFetch(request); },
        std::move(callback));
}

inline SimulatedPeer::SimulatedPeer(SimulatedPeerNetwork &network,
                                    const std::string &nodeId,
                                    const std::string &nodeZone,
                                    std::uint16_t port)
    : id(nodeId)
    , zone(nodeZone)
    , address("127.0.0.1", port)
    , client(network, address)
{
    DisseminatorOptions options{.id = id, .zone = zone, .advertisedAddress = address};
    options.randomSeed = port;
    disseminator = Disseminator::make(
                       std::move(options),
                       {.peers = client, .timers = network.time, .table = table, .config = config, .metrics = metrics})
                       .value();
}

} // namespace Hornbeam
