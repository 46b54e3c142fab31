#include "connectionmeter.h"

#include <hornbeam/base/metrics.h>

// The kernel's header has the byte counters that <netinet/tcp.h> of the C library lacks. Only one of them can be
// included.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Hornbeam {

namespace {

constexpr int tcpEstablished = 1; // TCP_ESTABLISHED in <netinet/tcp.h>.

} // namespace

PeerByteCounters::PeerByteCounters(MetricsRegistry &metrics)
    : sent(metrics.counter("hornbeam_peer_bytes_sent_total", "Bytes sent on connections between nodes."))
    , received(metrics.counter("hornbeam_peer_bytes_received_total", "Bytes received on connections between nodes."))
{
}

std::unique_ptr<ConnectionMeter> ConnectionMeter::make(int descriptor, PeerByteCounters counters, TimePoint now)
{
    const int copy = dup(descriptor);
    if (copy < 0) {
        return nullptr;
    }
    return std::unique_ptr<ConnectionMeter>(new ConnectionMeter(copy, counters, now));
}

ConnectionMeter::ConnectionMeter(int descriptor, PeerByteCounters counters, TimePoint now)
    : m_descriptor(descriptor)
    , m_counters(counters)
    , m_lastActivity(now)
{
}

ConnectionMeter::~ConnectionMeter()
{
    sample(m_lastActivity);
    close(m_descriptor);
}

bool ConnectionMeter::sample(TimePoint now)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (getsockopt(m_descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return false;
    }
    const auto sent = info.tcpi_bytes_sent - m_sent;
    const auto received = info.tcpi_bytes_received - m_received;
    m_sent = info.tcpi_bytes_sent;
    m_received = info.tcpi_bytes_received;
    m_counters.sent.add(sent);
    m_counters.received.add(received);
    if (sent > 0 || received > 0) {
        m_lastActivity = now;
    }
    return info.tcpi_state == tcpEstablished;
}

void ConnectionMeter::shutdown()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

} // namespace Hornbeam
