#pragma once

#include "testsocket.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Hornbeam {

/** A target for tests, whose handler writes the bytes of each response. Each connection has its own thread. */
class TestTarget
{
public:
    /** Responds to a request; returns whether the connection stays open for another one. */
    using Handler = std::function<bool(const TestMessage &request, TestSocket &connection)>;

    /** What is read of a request before the handler is called. */
    enum class Reads {
        Whole,
        Head, ///< The body stays on the connection.
    };

    explicit TestTarget(Handler handler, Reads reads = Reads::Whole);
    ~TestTarget();

    const Endpoint &address() const
    {
        return m_address;
    }

    int requests() const
    {
        return m_requests;
    }

    int connections() const
    {
        return m_accepted;
    }

    /** A handler that responds with status 200 and @p body. */
    static Handler answer(std::string body);

    /** Text of a complete response. */
    static std::string response(const std::string &status, const std::string &body, const std::string &headers = {});

private:
    void accept();
    void serve(int fd);

    Handler m_handler;
    Reads m_reads;
    Endpoint m_address;
    int m_listener;
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_accepted = 0;
    std::mutex m_mutex;
    std::vector<int> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace Hornbeam
