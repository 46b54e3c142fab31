#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/testsupport/httpclient.h>

#include <chrono>
#include <memory>

namespace Hornbeam {

/** How an exchange ended, as the client observed it. */
enum class ExchangeEnd {
    Complete, ///< A complete response arrived.
    NotConnected, ///< No connection could be established.
    NotSent, ///< The connection ended before the whole request was written.
    NoResponse, ///< The connection ended before the first byte of a response.
    Truncated, ///< The connection ended in the middle of the response.
    Malformed, ///< The response is invalid, or bytes follow it that no request asked for.
    TimedOut, ///< The request's timeout passed.
};

/** Returns the end in words, for example "the response was truncated". */
const char *exchangeEndName(ExchangeEnd end);

/** One request and what the client observed of its response. */
struct HttpExchange
{
    using TimePoint = std::chrono::steady_clock::time_point;

    ExchangeEnd end = ExchangeEnd::NotConnected;
    HttpResponse response; ///< Incomplete unless the end is Complete.
    bool isFirst = true; ///< Whether the request was the first on its connection.
    TimePoint connected; ///< When the connection was established; unset if it was not.
    TimePoint started; ///< Before the first byte was written, or before the attempt to connect.
    TimePoint sent; ///< When the last byte had been written, or writing failed; unset without a connection.
    TimePoint ended;
};

/**
 * Sends requests to one server, one at a time, on a connection that it uses until the server announces or causes its
 * end. Unlike an HTTP library, it neither checks a connection before use nor sends a request again. One thread only.
 */
class PersistentClient
{
public:
    explicit PersistentClient(Endpoint server);
    ~PersistentClient();
    PersistentClient(const PersistentClient &) = delete;
    PersistentClient &operator=(const PersistentClient &) = delete;

    /**
     * Sends the request, whose URL is a path, and waits for its response for at most the request's timeout. Connects if
     * there is no open connection. The method must not be HEAD; maxBytesPerSecond and sourceAddress are ignored.
     */
    HttpExchange send(const HttpRequest &request);

    /** Closes the connection; the next request opens another one. */
    void disconnect();

private:
    class Connection;

    Endpoint m_server;
    std::unique_ptr<Connection> m_connection; ///< Null without an open connection.
};

} // namespace Hornbeam
