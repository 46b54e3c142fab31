#include "socketinfo.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

TEST_GROUP(SocketInfo){};

// Guards against requests that wait until their deadline on a connection over a broken link.
TEST(SocketInfo, limitsTheTimeWithoutAnAcknowledgement)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    CHECK(setLinkTimeouts(fd));
    unsigned int ms = 0;
    socklen_t size = sizeof(ms);
    CHECK_EQUAL(0, ::getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, &size));
    CHECK(ms > 0 && ms <= 1000);
    ::close(fd);
    CHECK_FALSE(setLinkTimeouts(fd));
}
