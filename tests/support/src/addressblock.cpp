#include <hornbeam/testsupport/addressblock.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Hornbeam {

namespace {

// 127.0 and 127.1 are left free for programs that are started manually.
constexpr int firstBlock = 2;
constexpr int lastBlock = 254;
constexpr std::uint16_t reservationPort = 7000;

std::string blockAddress(int block, int third, int fourth)
{
    return "127." + std::to_string(block) + "." + std::to_string(third) + "." + std::to_string(fourth);
}

/** Returns a listening socket that reserves the block, or -1 when another program holds it. */
int reserveBlock(int block)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(reservationPort);
    inet_pton(AF_INET, blockAddress(block, 255, 254).c_str(), &address.sin_addr);
    const bool bound = ::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
    if (bound && ::listen(socket, 1) == 0) {
        return socket;
    }
    ::close(socket);
    return -1;
}

} // namespace

Result<std::unique_ptr<AddressBlock>> AddressBlock::reserve()
{
    const int blocks = lastBlock - firstBlock + 1;
    // Starting the search at the process id makes it unlikely that a block is reused right after its release.
    for (int i = 0; i < blocks; ++i) {
        const int block = firstBlock + (::getpid() + i) % blocks;
        const int socket = reserveBlock(block);
        if (socket >= 0) {
            return std::unique_ptr<AddressBlock>(new AddressBlock(block, socket));
        }
    }
    return makeError(ErrorCode::Overloaded, "all loopback address blocks are in use");
}

AddressBlock::AddressBlock(int block, int socket)
    : m_block(block)
    , m_socket(socket)
{
}

AddressBlock::~AddressBlock()
{
    ::close(m_socket);
}

Endpoint AddressBlock::endpoint(int third, int fourth, std::uint16_t port) const
{
    return {address(third, fourth), port};
}

std::string AddressBlock::address(int third, int fourth) const
{
    return blockAddress(m_block, third, fourth);
}

} // namespace Hornbeam
