#pragma once

#include <hornbeam/base/faketimerservice.h>
#include <hornbeam/base/metrics.h>
#include <hornbeam/membership/datagramtransport.h>
#include <hornbeam/membership/failuredetector.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Hornbeam {

/**
 * Timers and datagram delivery of one node, which can be paused, like those of a stopped process. On resume(), the
 * timers that became due run before the datagrams that were received meanwhile are delivered. In this order the node is
 * most likely to suspect other members wrongly.
 */
class PausableTimers : public TimerService
{
public:
    explicit PausableTimers(FakeTimerService &timers)
        : m_timers(timers)
    {
    }

    TimePoint now() const override
    {
        return m_timers.now();
    }

    TimerHandle once(Duration delay, std::function<void()> callback) override
    {
        return m_timers.once(delay, [this, callback = std::move(callback)] { run(callback); });
    }

    TimerHandle every(Duration period, std::function<void()> callback) override
    {
        return m_timers.every(period, [this, callback = std::move(callback)] { run(callback); });
    }

    void run(const std::function<void()> &callback)
    {
        if (m_paused) {
            m_dueWhilePaused.push_back(callback);
        } else {
            callback();
        }
    }

    /** Delivers a datagram immediately, or on resume() if the node is paused. */
    void deliver(const std::function<void()> &delivery)
    {
        if (m_paused) {
            m_receivedWhilePaused.push_back(delivery);
        } else {
            delivery();
        }
    }

    void pause()
    {
        m_paused = true;
    }

    void resume()
    {
        m_paused = false;
        for (const auto &callback : std::exchange(m_dueWhilePaused, {})) {
            callback();
        }
        for (const auto &delivery : std::exchange(m_receivedWhilePaused, {})) {
            delivery();
        }
    }

private:
    FakeTimerService &m_timers;
    bool m_paused = false;
    std::vector<std::function<void()>> m_dueWhilePaused; ///< Timer callbacks.
    std::vector<std::function<void()>> m_receivedWhilePaused; ///< Deliveries of datagrams.
};

class SimulatedNetwork;

class SimulatedTransport : public DatagramTransport
{
public:
    SimulatedTransport(SimulatedNetwork &network, Endpoint address)
        : m_network(network)
        , m_address(std::move(address))
    {
    }

    void send(const Endpoint &peer, std::string_view bytes) override;

    void setReceiver(Receiver receiver) override
    {
        m_receiver = std::move(receiver);
    }

    void deliver(const std::string &bytes)
    {
        bytesReceived += bytes.size() + headerBytes;
        if (m_receiver) {
            m_receiver(bytes);
        }
    }

    static constexpr std::size_t headerBytes = 28; ///< IPv4 and UDP.
    std::size_t bytesSent = 0;
    std::size_t bytesReceived = 0;
    std::size_t largestDatagram = 0;

private:
    SimulatedNetwork &m_network;
    Endpoint m_address;
    Receiver m_receiver;
};

/** A node in a SimulatedNetwork. */
struct SimulatedNode
{
    SimulatedNode(SimulatedNetwork &network, FailureDetectorOptions options);

    MemberState stateOf(const SimulatedNode &other) const
    {
        const auto member = table.find(memberHash(other.id));
        return member ? member->state : MemberState::Failed;
    }

    std::string id;
    Endpoint address;
    PausableTimers timers;
    SimulatedTransport transport;
    MembershipTable table;
    MetricsRegistry metrics;
    std::unique_ptr<FailureDetector> detector;
};

/** Delivers datagrams between nodes after 1 ms of simulated time. */
class SimulatedNetwork
{
public:
    using Filter = std::function<bool(const Endpoint &from, const Endpoint &to)>;

    SimulatedNode &add(const std::string &id, const std::string &zone, std::uint16_t port)
    {
        FailureDetectorOptions options{.id = id, .zone = zone, .advertisedAddress = Endpoint("127.0.0.1", port)};
        options.seeds = seeds;
        options.randomSeed = randomSeedBase + port;
        options.joinBackoff.seed = options.randomSeed;
        options.retransmissions = retransmissions;
        nodes.push_back(std::make_unique<SimulatedNode>(*this, std::move(options)));
        return *nodes.back();
    }

    /**
     * Adds and starts @p count nodes, alternating between two zones, and advances the time by 12 s. Does not check that
     * they have joined.
     */
    void makeCluster(std::uint16_t count)
    {
        for (std::uint16_t i = 1; i <= count; ++i) {
            add("node-" + std::to_string(i), i % 2 == 0 ? "north" : "south", 1000 + i);
            nodes.back()->detector->start();
        }
        time.advance(std::chrono::seconds(12));
    }

    void send(const Endpoint &from, const Endpoint &to, std::string_view bytes)
    {
        if (drop && drop(from, to)) {
            return;
        }
        const auto id = ++m_lastDelivery;
        auto deliver = [this, id, to, copy = std::string(bytes)] {
            m_deliveries.erase(id);
            if (auto *node = find(to)) {
                node->timers.deliver([node, copy] { node->transport.deliver(copy); });
            }
        };
        m_deliveries[id] = time.once(std::chrono::milliseconds(1), std::move(deliver));
    }

    SimulatedNode *find(const Endpoint &address)
    {
        for (const auto &node : nodes) {
            if (node->address == address) {
                return node.get();
            }
        }
        return nullptr;
    }

    /** Returns the number of ordered pairs of nodes in which the first has the second in its table as alive. */
    std::size_t aliveViews() const
    {
        std::size_t n = 0;
        for (const auto &viewer : nodes) {
            for (const auto &other : nodes) {
                n += viewer->stateOf(*other) == MemberState::Alive ? 1 : 0;
            }
        }
        return n;
    }

    FakeTimerService time;
    Filter drop; ///< Drops the datagrams for which it returns true; empty drops none.
    std::uint32_t retransmissions = 4; ///< Of nodes that are added later.
    std::vector<Endpoint> seeds = {Endpoint("127.0.0.1", 1001),
                                   Endpoint("127.0.0.1", 1002)}; ///< Of nodes that are added later.
    std::uint64_t randomSeedBase = 0; ///< Added to the random seed of nodes that are added later.
    std::vector<std::unique_ptr<SimulatedNode>> nodes;

private:
    std::uint64_t m_lastDelivery = 0;
    std::map<std::uint64_t, TimerHandle> m_deliveries;
};

inline void SimulatedTransport::send(const Endpoint &peer, std::string_view bytes)
{
    bytesSent += bytes.size() + headerBytes;
    largestDatagram = std::max(largestDatagram, bytes.size());
    m_network.send(m_address, peer, bytes);
}

inline SimulatedNode::SimulatedNode(SimulatedNetwork &network, FailureDetectorOptions options)
    : id(options.id)
    , address(options.advertisedAddress)
    , timers(network.time)
    , transport(network, options.advertisedAddress)
{
    detector = FailureDetector::make(std::move(options),
                                     {.transport = transport, .timers = timers, .table = table, .metrics = metrics})
                   .value();
}

} // namespace Hornbeam
