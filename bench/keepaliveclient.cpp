#include "keepaliveclient.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <string_view>

namespace Hornbeam {

namespace {

/** Returns the header @p name, given in lower case, as a number, or @p defaultValue when it is missing or invalid. */
std::uint64_t numericHeader(std::string_view head, std::string_view name, std::uint64_t defaultValue)
{
    const auto sameLetter = [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) == b;
    };
    const auto key = "\n" + std::string(name) + ":";
    const auto it = std::search(head.begin(), head.end(), key.begin(), key.end(), sameLetter);
    if (it == head.end()) {
        return defaultValue;
    }
    auto value = head.substr(static_cast<std::size_t>(it - head.begin()) + key.size());
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    std::uint64_t number = defaultValue;
    std::from_chars(value.data(), value.data() + value.size(), number);
    return number;
}

int statusOf(std::string_view head)
{
    constexpr std::size_t statusOffset = 9; // After "HTTP/1.1 ".
    int status = 0;
    if (head.size() > statusOffset) {
        std::from_chars(head.data() + statusOffset, head.data() + head.size(), status);
    }
    return status;
}

} // namespace

KeepAliveClient::KeepAliveClient(asio::io_context &context, const Endpoint &server)
    : m_server(asio::ip::make_address(server.address()), server.port())
    , m_host(server.toString())
    , m_socket(context)
    , m_deadline(context)
{
}

asio::awaitable<CallResponse> KeepAliveClient::get(std::string path, std::chrono::milliseconds timeout)
{
    m_deadline.expires_after(timeout);
    m_deadline.async_wait([this](const std::error_code &ec) {
        if (!ec) {
            std::error_code ignored;
            m_socket.close(ignored);
        }
    });
    CallResponse response;
    try {
        co_await exchange(path, response);
    } catch (const std::exception &) {
        // Refused, closed and stalled connections are expected, for example while a node starts. get() reconnects.
        std::error_code ignored;
        m_socket.close(ignored);
        response = {};
    }
    m_deadline.cancel();
    co_return response;
}

asio::awaitable<void> KeepAliveClient::exchange(const std::string &path, CallResponse &response)
{
    if (!m_socket.is_open()) {
        m_received.clear();
        co_await m_socket.async_connect(m_server, asio::use_awaitable);
        m_socket.set_option(asio::ip::tcp::no_delay(true));
    }
    const auto request = "GET " + path + " HTTP/1.1\r\nHost: " + m_host + "\r\n\r\n";
    co_await asio::async_write(m_socket, asio::buffer(request), asio::use_awaitable);
    const auto headBytes =
        co_await asio::async_read_until(m_socket, asio::dynamic_buffer(m_received), "\r\n\r\n", asio::use_awaitable);
    const auto head = std::string_view(m_received).substr(0, headBytes);
    const CallResponse parsed = {.status = statusOf(head), .version = numericHeader(head, "x-hornbeam-version", 0)};
    constexpr auto noLength = ~std::uint64_t(0);
    const auto bodyBytes = numericHeader(head, "content-length", noLength);
    if (bodyBytes == noLength) {
        m_socket.close();
        response = parsed;
        co_return;
    }
    const auto messageBytes = headBytes + bodyBytes;
    if (m_received.size() < messageBytes) {
        const auto missing = messageBytes - m_received.size();
        co_await asio::async_read(
            m_socket, asio::dynamic_buffer(m_received), asio::transfer_exactly(missing), asio::use_awaitable);
    }
    m_received.erase(0, messageBytes);
    response = parsed;
}

} // namespace Hornbeam
