#include "socketinfo.h"

// <netinet/tcp.h> lacks the byte counters and conflicts with this header, so this file includes no socket library.
#include <linux/tcp.h>
#include <sys/socket.h>

namespace Hornbeam {

namespace {

constexpr int tcpLevel = 6; // IPPROTO_TCP

/** Time without an acknowledgement: one lost packet is sent again within 200 ms, and a second one within 400 ms more.
 */
constexpr unsigned int unacknowledgedMs = 500;

/** Probes of a connection on which nothing is sent. */
constexpr int idleSeconds = 1;
constexpr int probeSeconds = 1;
constexpr int probes = 2;

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
        && setOption(socket, tcpLevel, TCP_KEEPINTVL, probeSeconds) && setOption(socket, tcpLevel, TCP_KEEPCNT, probes);
    return setOption(socket, tcpLevel, TCP_USER_TIMEOUT, unacknowledgedMs) && probing;
}

} // namespace Hornbeam
