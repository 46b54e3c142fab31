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
 * Timers of one node that can be paused, like those of a stopped process. On resume() late timers run before the
 * datagrams that were received meanwhile, which is the worst order for a verdict about other members.
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
            m_late.push_back(callback);
        } else {
            callback();
        }
    }

    /** Runs the delivery of a datagram. */
    void deliver(const std::function<void()> &delivery)
    {
        if (m_paused) {
            m_datagrams.push_back(delivery);
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
        for (const auto &callback : std::exchange(m_late, {})) {
            callback();
        }
        for (const auto &delivery : std::exchange(m_datagrams, {})) {
            delivery();
        }
    }

private:
    FakeTimerService &m_timers;
    bool m_paused = false;
    std::vector<std::function<void()>> m_late;
    std::vector<std::function<void()>> m_datagrams;
};

class MemoryNetwork;

class MemoryTransport : public DatagramTransport
{
public:
    MemoryTransport(MemoryNetwork &network, Endpoint address)
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

    static constexpr std::size_t headerBytes = 28;
    std::size_t bytesSent = 0;
    std::size_t bytesReceived = 0;
    std::size_t largestDatagram = 0;

private:
    MemoryNetwork &m_network;
    Endpoint m_address;
    Receiver m_receiver;
};

/** A node of the simulated membership. */
struct MemoryNode
{
    MemoryNode(MemoryNetwork &network, FailureDetectorOptions options);

    MemberState stateOf(const MemoryNode &other) const
    {
        const auto member = table.find(memberHash(other.id));
        return member ? member->state : MemberState::Failed;
    }

    std::string id;
    Endpoint address;
    PausableTimers timers;
    MemoryTransport transport;
    MembershipTable table;
    MetricsRegistry metrics;
    std::unique_ptr<FailureDetector> detector;
};

/** Delivers datagrams between nodes after 1 ms of simulated time. */
class MemoryNetwork
{
public:
    using Filter = std::function<bool(const Endpoint &from, const Endpoint &to)>;

    MemoryNode &add(const std::string &id, const std::string &zone, std::uint16_t port)
    {
        FailureDetectorOptions options{.id = id, .zone = zone, .advertisedAddress = Endpoint("127.0.0.1", port)};
        options.seeds = seeds;
        options.seed = seedBase + port;
        options.joinBackoff.seed = options.seed;
        options.retransmissions = retransmissions;
        nodes.push_back(std::make_unique<MemoryNode>(*this, std::move(options)));
        return *nodes.back();
    }

    /** Adds and starts @p count nodes in two zones and lets them join. */
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

    MemoryNode *find(const Endpoint &address)
    {
        for (const auto &node : nodes) {
            if (node->address == address) {
                return node.get();
            }
        }
        return nullptr;
    }

    /** Number of ordered pairs of nodes of which the first regards the second as alive. */
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
    Filter drop;
    std::uint32_t retransmissions = 4; ///< For nodes that are added later.
    std::vector<Endpoint> seeds = {Endpoint("127.0.0.1", 1001),
                                   Endpoint("127.0.0.1", 1002)}; ///< Seeds of the nodes that are added later.
    std::uint64_t seedBase = 0; ///< Added to the seeds of the random choices of nodes that are added later.
    std::vector<std::unique_ptr<MemoryNode>> nodes;

private:
    std::uint64_t m_lastDelivery = 0;
    std::map<std::uint64_t, TimerHandle> m_deliveries;
};

inline void MemoryTransport::send(const Endpoint &peer, std::string_view bytes)
{
    bytesSent += bytes.size() + headerBytes;
    largestDatagram = std::max(largestDatagram, bytes.size());
    m_network.send(m_address, peer, bytes);
}

inline MemoryNode::MemoryNode(MemoryNetwork &network, FailureDetectorOptions options)
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
