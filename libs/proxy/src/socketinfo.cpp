#include "socketinfo.h"

// <netinet/tcp.h> lacks the byte counters and conflicts with this header, so this file includes no socket library.
#include <linux/tcp.h>
#include <sys/socket.h>

namespace Hornbeam {

namespace {

constexpr int tcpLevel = 6; // IPPROTO_TCP

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

} // namespace Hornbeam
