#pragma once

#include <hornbeam/base/endpoint.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Hornbeam {

/** An HTTP message as a test reads it. */
struct TestMessage
{
    std::string startLine;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    bool complete = false; ///< The body ended as its framing says.

    int status() const;
    std::string header(const std::string &name) const;
};

/** A blocking socket whose calls fail after five seconds, so that a broken test ends. */
class TestSocket
{
public:
    explicit TestSocket(int fd);
    TestSocket(TestSocket &&other) noexcept;
    TestSocket &operator=(TestSocket &&) = delete;
    ~TestSocket();

    static TestSocket connectTo(const Endpoint &peer);

    bool send(const std::string &bytes);

    /** Reads one message; nothing when the connection ended before its head. @p hasBody is false after HEAD. */
    std::optional<TestMessage> read(bool hasBody = true);

    /** Whether the peer has closed the connection, waiting up to five seconds. */
    bool waitClosed();

    /** Whether nothing can be read and the peer has not closed within the given time. */
    bool staysQuiet(int ms);

    void shutdownSend();

    /** Closes with a reset. */
    void reset();
    void close();

private:
    bool fill();
    std::optional<std::string> readLine();
    bool readExactly(std::size_t n, std::string &out);
    bool readChunks(std::string &out);

    int m_fd;
    std::string m_buffer;
};

} // namespace Hornbeam
