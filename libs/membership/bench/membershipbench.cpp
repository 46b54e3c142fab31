// Measures one node in a group of 1,700 members: the cost of joining, of idle operation and of a burst of updates. The
// other members are simulated: they answer pings and send as many datagrams as an idle member does.

#include <hornbeam/base/faketimerservice.h>
#include <hornbeam/base/metrics.h>
#include <hornbeam/membership/datagramtransport.h>
#include <hornbeam/membership/failuredetector.h>

#include "membershipcodec.h"

#include <ctime>
#include <deque>
#include <iostream>
#include <random>
#include <utility>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

constexpr int memberCount = 1700;
constexpr int idleSeconds = 600;
constexpr int burstUpdates = 500;
constexpr std::size_t headerBytes = 28; // IPv4 and UDP.

double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

Endpoint addressOf(int i)
{
    return {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1), 7000};
}

Member makeMember(int i)
{
    Member member{.id = Digest::of(std::to_string(i)).hex().substr(0, 32), .zone = "zone-" + std::to_string(i % 7)};
    member.peerAddress = addressOf(i);
    member.incarnation = 1;
    member.targets.push_back({.address = Endpoint(addressOf(i).address(), 8080),
                              .service = "service-" + std::to_string(i % 180),
                              .zone = member.zone,
                              .slots = 10,
                              .instance = 1750000000000000ULL + static_cast<std::uint64_t>(i)});
    return member;
}

/** Delivers datagrams between the measured node, the seed and the simulated members without latency. */
class BenchTransport : public DatagramTransport
{
public:
    using Handler = std::function<void(const Endpoint &peer, const std::string &bytes)>;

    explicit BenchTransport(Handler handler)
        : m_handler(std::move(handler))
    {
    }

    void send(const Endpoint &peer, std::string_view bytes) override
    {
        sentBytes += bytes.size() + headerBytes;
        m_handler(peer, std::string(bytes));
    }

    void setReceiver(Receiver receiver) override
    {
        m_receiver = std::move(receiver);
    }

    void deliver(const std::string &bytes)
    {
        receivedBytes += bytes.size() + headerBytes;
        m_receiver(bytes);
    }

    std::size_t sentBytes = 0;
    std::size_t receivedBytes = 0;

private:
    Handler m_handler;
    Receiver m_receiver;
};

/** The measured node and a seed that has all members in its table. */
class Bench
{
public:
    Bench()
        : m_node([this](const Endpoint &peer, const std::string &bytes) { handleSentByNode(peer, bytes); })
        , m_seed([this](const Endpoint &peer, const std::string &bytes) { handleSentBySeed(peer, bytes); })
    {
        for (int i = 1; i < memberCount; ++i) {
            m_seedTable.merge(makeMember(i));
        }
        m_seedDetector = makeDetector(1, m_seed, m_seedTable, {});
        m_nodeDetector = makeDetector(0, m_node, m_nodeTable, {addressOf(1)});
    }

    void join()
    {
        m_seedDetector->start();
        const double cpu = cpuSeconds();
        m_nodeDetector->start();
        drain();
        m_timers.advance(10ms);
        drain();
        std::cout << "join: members " << m_nodeTable.liveMembers()->size() << ", bytes "
                  << m_node.sentBytes + m_node.receivedBytes << ", cpu of node and seed ms "
                  << (cpuSeconds() - cpu) * 1000 << "\n";
        m_seedDetector.reset();
    }

    void idle()
    {
        const auto bytes = m_node.sentBytes + m_node.receivedBytes;
        const double cpu = cpuSeconds();
        for (int second = 0; second < idleSeconds; ++second) {
            sendPing(randomMember());
            if (second % 5 == 0) {
                sendDigest(randomMember());
            }
            // The steps are shorter than the probe timeout, so that each ping is answered in time.
            for (int step = 0; step < 10; ++step) {
                drain();
                m_timers.advance(100ms);
            }
        }
        const auto used = static_cast<double>(m_node.sentBytes + m_node.receivedBytes - bytes);
        std::cout << "idle: bytes/s sent and received " << used / idleSeconds << ", cpu % of a core "
                  << (cpuSeconds() - cpu) / idleSeconds * 100 << " (with the simulated members)\n";
    }

    void burst()
    {
        const auto bytes = m_node.sentBytes;
        const double cpu = cpuSeconds();
        for (int i = 2; i < 2 + burstUpdates; ++i) {
            auto changed = makeMember(i);
            changed.incarnation = 2;
            auto datagram = makeDatagram(changed);
            datagram.mutable_gossip();
            *datagram.add_updates() = toWire(changed);
            m_node.deliver(datagram.SerializeAsString());
        }
        m_timers.advance(1s);
        drain();
        std::cout << "burst: cpu us per update " << (cpuSeconds() - cpu) * 1e6 / burstUpdates
                  << ", bytes sent per update " << (m_node.sentBytes - bytes) / burstUpdates << "\n";
    }

private:
    std::unique_ptr<FailureDetector> makeDetector(int i,
                                                  DatagramTransport &transport,
                                                  MembershipTable &table,
                                                  std::vector<Endpoint> seeds)
    {
        const auto member = makeMember(i);
        FailureDetectorOptions options{.id = member.id, .zone = member.zone, .advertisedAddress = member.peerAddress};
        options.seeds = std::move(seeds);
        options.randomSeed = 1 + static_cast<std::uint64_t>(i);
        return FailureDetector::make(std::move(options),
                                     {.transport = transport, .timers = m_timers, .table = table, .metrics = m_metrics})
            .value();
    }

    static Wire::Datagram makeDatagram(const Member &sender)
    {
        Wire::Datagram datagram;
        datagram.set_sender_id(sender.id);
        datagram.set_sender_address(sender.peerAddress.toString());
        datagram.set_incarnation(sender.incarnation);
        datagram.set_config_version(1000);
        datagram.set_config_digest(1);
        return datagram;
    }

    Member randomMember()
    {
        const auto members = m_nodeTable.liveMembers();
        while (true) {
            const auto &member = *(*members)[m_random() % members->size()].member;
            if (member.peerAddress != addressOf(0)) {
                return member;
            }
        }
    }

    void sendPing(const Member &sender)
    {
        auto datagram = makeDatagram(sender);
        datagram.mutable_ping()->set_sequence(m_random());
        datagram.mutable_ping()->set_target_hash(memberHash(makeMember(0).id));
        m_node.deliver(datagram.SerializeAsString());
    }

    void sendDigest(const Member &sender)
    {
        auto datagram = makeDatagram(sender);
        datagram.mutable_table_digest()->set_digest(m_nodeTable.digest());
        m_node.deliver(datagram.SerializeAsString());
    }

    void handleSentByNode(const Endpoint &peer, const std::string &bytes)
    {
        if (m_seedDetector && peer == addressOf(1)) {
            m_queue.emplace_back([this, bytes] { m_seed.deliver(bytes); });
            return;
        }
        const auto datagram = decodeDatagram(bytes);
        if (!datagram || !datagram->has_ping()) {
            return;
        }
        const auto member = m_nodeTable.find(datagram->ping().target_hash());
        auto answer = makeDatagram(*member);
        answer.mutable_ack()->set_sequence(datagram->ping().sequence());
        m_queue.emplace_back([this, answer] { m_node.deliver(answer.SerializeAsString()); });
    }

    void handleSentBySeed(const Endpoint &peer, const std::string &bytes)
    {
        if (peer == addressOf(0)) {
            m_queue.emplace_back([this, bytes] { m_node.deliver(bytes); });
        }
    }

    void drain()
    {
        m_timers.advance(0ms);
        while (!m_queue.empty()) {
            const auto work = std::move(m_queue.front());
            m_queue.pop_front();
            work();
        }
    }

    FakeTimerService m_timers;
    MetricsRegistry m_metrics;
    std::mt19937 m_random{1};
    std::deque<std::function<void()>> m_queue;
    BenchTransport m_node;
    BenchTransport m_seed;
    MembershipTable m_nodeTable;
    MembershipTable m_seedTable;
    std::unique_ptr<FailureDetector> m_seedDetector;
    std::unique_ptr<FailureDetector> m_nodeDetector;
};

} // namespace

int main()
{
    Bench bench;
    bench.join();
    bench.idle();
    bench.burst();
    return 0;
}
