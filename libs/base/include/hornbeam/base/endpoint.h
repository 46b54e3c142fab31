#pragma once

#include <hornbeam/base/error.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Hornbeam {

/** An IP address and a port. The address is numeric; names are never resolved. */
class Endpoint
{
public:
    Endpoint() = default;
    Endpoint(std::string address, std::uint16_t port);

    /** Parses "127.0.0.1:80" or "[::1]:80". The port is 1..65535. */
    static Result<Endpoint> parse(std::string_view text);

    const std::string &address() const
    {
        return m_address;
    }

    std::uint16_t port() const
    {
        return m_port;
    }

    /** Formats the endpoint the way parse() reads it. */
    std::string toString() const;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;

private:
    std::string m_address;
    std::uint16_t m_port = 0;
};

} // namespace Hornbeam
