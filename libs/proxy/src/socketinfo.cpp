#include "socketinfo.h"

// <netinet/tcp.h> lacks tcpi_bytes_acked and conflicts with <linux/tcp.h>, so this file cannot include asio.
#include <linux/tcp.h>
#include <sys/socket.h>

namespace Hornbeam {

namespace {

constexpr int tcpLevel = 6; // IPPROTO_TCP

/**
 * Longest time without an acknowledgement of sent data. TCP retransmits a lost packet within 200 ms, and again within
 * another 400 ms.
 */
constexpr unsigned int unacknowledgedMs = 500;

/** Keepalive probes of an idle connection. */
constexpr int idleSeconds = 1;
constexpr int probeIntervalSeconds = 1;
constexpr int probeCount = 2;

template <typename T>
bool setOption(int socket, int level, int name, T value)
{
    return ::setsockopt(socket, level, name, &value, sizeof(value)) == 0;
}

} // namespace

std::uint64_t acknowledgedBytes(int socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::getsockopt(socket, tcpLevel, TCP_INFO, &info, &size) != 0) {
        return 0;
    }
    return info.tcpi_bytes_acked;
}

bool setLinkTimeouts(int socket)
{
    const bool probing = setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1)
        && setOption(socket, tcpLevel, TCP_KEEPIDLE, idleSeconds)
        && setOption(socket, tcpLevel, TCP_KEEPINTVL, probeIntervalSeconds)
        && setOption(socket, tcpLevel, TCP_KEEPCNT, probeCount);
    return setOption(socket, tcpLevel, TCP_USER_TIMEOUT, unacknowledgedMs) && probing;
}

} // namespace Hornbeam
