#pragma once

#include <hornbeam/base/endpoint.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Hornbeam {

/** An HTTP message that a test has received. */
struct TestMessage
{
    std::string startLine;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    bool complete = false; ///< The whole body was received, according to its headers.

    int status() const;
    std::string header(const std::string &name) const;
};

/** A blocking socket whose calls fail after five seconds, so that a failing test does not hang. */
class TestSocket
{
public:
    explicit TestSocket(int fd);
    TestSocket(TestSocket &&other) noexcept;
    TestSocket &operator=(TestSocket &&) = delete;
    ~TestSocket();

    static TestSocket connectTo(const Endpoint &peer);

    bool send(const std::string &bytes);

    /** Reads one message; nothing if the connection ends within its head. @p hasBody: false after a HEAD request. */
    std::optional<TestMessage> read(bool hasBody = true);

    /** Reads the head of a message; nothing if the connection ends within it. */
    std::optional<TestMessage> readHead();

    /** Like read(), but discards the body. */
    std::optional<TestMessage> readAndDiscard();

    /** Waits up to five seconds until the peer closes the connection; returns whether it did. */
    bool waitClosed();

    /** Whether the connection stays open and without data to read for @p ms milliseconds. */
    bool staysOpenAndIdle(int ms);

    void shutdownSend();

    /** Ends both directions, so that a call on another thread fails. */
    void shutdown();

    /** Closes the connection with a reset. */
    void reset();
    void close();

private:
    bool receiveMore();
    std::optional<std::string> readLine();
    /** @p out: receives the body; null to discard it. Returns whether it is complete. */
    bool readBody(const TestMessage &message, std::string *out);
    bool readExactly(std::uint64_t n, std::string *out);
    bool readChunks(std::string *out);

    int m_fd;
    std::string m_buffer;
};

} // namespace Hornbeam
