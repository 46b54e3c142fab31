#include <hornbeam/testsupport/persistentclient.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace Hornbeam {

namespace {

using TimePoint = HttpExchange::TimePoint;

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

std::string formatRequest(const Endpoint &server, const HttpRequest &request)
{
    auto out = request.method + ' ' + request.url + " HTTP/1.1\r\nHost: " + server.toString() + "\r\n";
    for (const auto &header : request.headers) {
        out += header + "\r\n";
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return out + "\r\n" + request.body;
}

/** Parses one response. */
class ResponseParser
{
public:
    explicit ResponseParser(HttpResponse &response)
        : m_response(response)
    {
        http_parser_settings_init(&m_settings);
        m_settings.on_header_field = [](http_parser *parser, const char *data, std::size_t size) {
            return self(parser).addName({data, size});
        };
        m_settings.on_header_value = [](http_parser *parser, const char *data, std::size_t size) {
            return self(parser).addValue({data, size});
        };
        m_settings.on_body = [](http_parser *parser, const char *data, std::size_t size) {
            self(parser).m_response.body.append(data, size);
            return 0;
        };
        m_settings.on_message_complete = [](http_parser *parser) {
            self(parser).complete();
            return 0;
        };
        http_parser_init(&m_parser, HTTP_RESPONSE);
        m_parser.data = this;
    }

    ResponseParser(const ResponseParser &) = delete;
    ResponseParser &operator=(const ResponseParser &) = delete;

    /** Parses received bytes; an empty view is the end of the connection. Returns false if they are malformed. */
    bool parse(std::string_view bytes)
    {
        m_started = m_started || !bytes.empty();
        const auto n = http_parser_execute(&m_parser, &m_settings, bytes.data(), bytes.size());
        const auto error = HTTP_PARSER_ERRNO(&m_parser);
        return n == bytes.size() && (error == HPE_OK || (error == HPE_PAUSED && m_complete));
    }

    bool isStarted() const
    {
        return m_started;
    }

    bool isComplete() const
    {
        return m_complete;
    }

    bool keepsAlive() const
    {
        return m_keepAlive;
    }

private:
    static ResponseParser &self(http_parser *parser)
    {
        return *static_cast<ResponseParser *>(parser->data);
    }

    int addName(std::string_view text)
    {
        if (m_inValue) {
            m_name.clear();
            m_inValue = false;
        }
        std::transform(text.begin(), text.end(), std::back_inserter(m_name), [](unsigned char c) {
            return static_cast<char>(std::tolower(c));
        });
        return 0;
    }

    int addValue(std::string_view text)
    {
        m_inValue = true;
        m_response.headers[m_name] += text;
        return 0;
    }

    void complete()
    {
        m_complete = true;
        m_keepAlive = http_should_keep_alive(&m_parser) != 0;
        m_response.status = static_cast<int>(m_parser.status_code);
        // Leaves bytes of a further response unparsed, which parse() reports.
        http_parser_pause(&m_parser, 1);
    }

    HttpResponse &m_response;
    http_parser m_parser{};
    http_parser_settings m_settings{};
    std::string m_name;
    bool m_inValue = false;
    bool m_started = false;
    bool m_complete = false;
    bool m_keepAlive = false;
};

} // namespace

const char *exchangeEndName(ExchangeEnd end)
{
    switch (end) {
    case ExchangeEnd::Complete:
        return "the response was complete";
    case ExchangeEnd::NotConnected:
        return "no connection could be established";
    case ExchangeEnd::NotSent:
        return "the connection ended before the request was sent";
    case ExchangeEnd::NoResponse:
        return "the connection ended without a response";
    case ExchangeEnd::Truncated:
        return "the response was truncated";
    case ExchangeEnd::Malformed:
        return "the response was malformed";
    case ExchangeEnd::TimedOut:
        return "the response did not arrive in time";
    }
    return "";
}

class PersistentClient::Connection
{
public:
    bool connect(const Endpoint &server)
    {
        std::error_code ec;
        m_socket.connect({asio::ip::make_address(server.address()), server.port()}, ec);
        if (!ec) {
            m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
        }
        m_connected = now();
        return !ec;
    }

    TimePoint connected() const
    {
        return m_connected;
    }

    bool write(const std::string &bytes)
    {
        std::error_code ec;
        asio::write(m_socket, asio::buffer(bytes), ec);
        return !ec;
    }

    /** Receives a response; returns how that ended. Sets @p keepAlive if another request may follow. */
    ExchangeEnd read(HttpResponse &response, TimePoint deadline, bool &keepAlive)
    {
        ResponseParser parser(response);
        while (!parser.isComplete()) {
            const auto [ec, n] = readSome(deadline);
            if (ec == asio::error::operation_aborted) {
                return ExchangeEnd::TimedOut;
            }
            // At the end of the connection, a body without a length is complete.
            const bool atEnd = ec == asio::error::eof && parser.isStarted();
            const bool valid = (ec && !atEnd) || parser.parse({m_buffer.data(), n});
            if (ec && !parser.isComplete()) {
                return parser.isStarted() ? ExchangeEnd::Truncated : ExchangeEnd::NoResponse;
            }
            if (!valid) {
                return ExchangeEnd::Malformed;
            }
        }
        keepAlive = parser.keepsAlive();
        return ExchangeEnd::Complete;
    }

    bool isUsed = false; ///< Whether a request was sent.

private:
    /** Returns operation_aborted after the deadline. */
    std::pair<std::error_code, std::size_t> readSome(TimePoint deadline)
    {
        std::pair<std::error_code, std::size_t> result;
        bool done = false;
        m_socket.async_read_some(asio::buffer(m_buffer), [&](const std::error_code &ec, std::size_t n) {
            result = {ec, n};
            done = true;
        });
        m_io.restart();
        m_io.run_until(deadline);
        if (!done) {
            m_socket.cancel();
            m_io.restart();
            m_io.run();
        }
        return result;
    }

    asio::io_context m_io{1};
    asio::ip::tcp::socket m_socket{m_io};
    TimePoint m_connected;
    std::array<char, 65536> m_buffer{};
};

PersistentClient::PersistentClient(Endpoint server)
    : m_server(std::move(server))
{
}

PersistentClient::~PersistentClient() = default;

HttpExchange PersistentClient::send(const HttpRequest &request)
{
    HttpExchange exchange;
    exchange.started = now();
    if (!m_connection) {
        m_connection = std::make_unique<Connection>();
        if (!m_connection->connect(m_server)) {
            disconnect();
            exchange.ended = now();
            return exchange;
        }
    }
    exchange.connected = m_connection->connected();
    exchange.isFirst = !std::exchange(m_connection->isUsed, true);
    exchange.started = now();
    const bool sent = m_connection->write(formatRequest(m_server, request));
    exchange.sent = now();
    bool keepAlive = false;
    exchange.end = sent ? m_connection->read(exchange.response, exchange.started + request.timeout, keepAlive)
                        : ExchangeEnd::NotSent;
    exchange.ended = now();
    exchange.response.elapsed =
        std::chrono::duration_cast<std::chrono::milliseconds>(exchange.ended - exchange.started);
    if (!keepAlive) {
        disconnect();
    }
    return exchange;
}

void PersistentClient::disconnect()
{
    m_connection.reset();
}

} // namespace Hornbeam
