#pragma once

#include <hornbeam/base/endpoint.h>

#include <cstdint>
#include <memory>

namespace Hornbeam {

/**
 * The loopback addresses 127.B.0.0/16, reserved for one test program by a listening socket on one of them.
 * This lets test programs, including those of other working copies, use fixed ports and still run in parallel.
 */
class AddressBlock
{
public:
    /** Reserves a free block. Returns the error Overloaded when all are in use. */
    static Result<std::unique_ptr<AddressBlock>> reserve();

    ~AddressBlock();
    AddressBlock(const AddressBlock &) = delete;
    AddressBlock &operator=(const AddressBlock &) = delete;

    /** Returns 127.B.third.fourth:port. */
    Endpoint endpoint(int third, int fourth, std::uint16_t port) const;

    /** Returns 127.B.third.fourth. */
    std::string address(int third, int fourth) const;

private:
    AddressBlock(int block, int socket);

    int m_block;
    int m_socket;
};

} // namespace Hornbeam
