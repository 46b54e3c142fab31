#pragma once

#include <hornbeam/base/endpoint.h>

#include <cstdint>
#include <memory>

namespace Hornbeam {

/**
 * The loopback addresses 127.B.0.0/16, reserved for one test program by a listening socket on an address of the block.
 * Test programs, also of several working copies, can so run at the same time with fixed ports.
 */
class AddressBlock
{
public:
    /** Reserves a free block. Overloaded when all are in use. */
    static Result<std::unique_ptr<AddressBlock>> reserve();

    ~AddressBlock();
    AddressBlock(const AddressBlock &) = delete;
    AddressBlock &operator=(const AddressBlock &) = delete;

    /** 127.B.third.fourth:port. */
    Endpoint endpoint(int third, int fourth, std::uint16_t port) const;

    /** 127.B.third.fourth. */
    std::string address(int third, int fourth) const;

private:
    AddressBlock(int block, int socket);

    int m_block;
    int m_socket;
};

} // namespace Hornbeam
