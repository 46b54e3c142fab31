#include <hornbeam/base/endpoint.h>

#include <asio/ip/address.hpp>

#include <charconv>

namespace Hornbeam {

Endpoint::Endpoint(std::string address, std::uint16_t port)
    : m_address(std::move(address))
    , m_port(port)
{
}

Result<Endpoint> Endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    const auto invalid = [&] {
        return makeError(ErrorCode::InvalidArgument, "\"" + std::string(text) + "\" is not an IP address and port");
    };
    if (colon == std::string_view::npos) {
        return invalid();
    }
    auto host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (status != std::errc() || end != digits.data() + digits.size() || port == 0) {
        return invalid();
    }
    std::error_code ec;
    asio::ip::make_address(std::string(host), ec);
    if (ec) {
        return invalid();
    }
    return Endpoint(std::string(host), port);
}

std::string Endpoint::toString() const
{
    if (m_address.find(':') != std::string::npos) {
        return "[" + m_address + "]:" + std::to_string(m_port);
    }
    return m_address + ":" + std::to_string(m_port);
}

} // namespace Hornbeam
