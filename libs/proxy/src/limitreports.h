#pragma once

#include <hornbeam/base/metrics.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/proxy/requestlog.h>

#include <array>
#include <atomic>

namespace Hornbeam {

/** The limits of clients that a connection or request can reach. */
enum class ClientLimit {
    HeadBytes, ///< Bytes or fields of a head, or empty lines before it.
    HeadTime, ///< Time from the first byte of a request to the end of its head.
    BufferedBytes, ///< What all connections together keep in memory.
    Connections, ///< Number of connections; one that sends nothing is closed for another one.
};

/** Counts the clients that reached a limit, and logs each limit at most once per second. Thread-safe. */
class LimitReports
{
public:
    /** @p log: null for none. */
    LimitReports(MetricsRegistry &metrics, RequestLog *log);

    /** @p status: of the refusal; 0 if the connection was closed. @p fromPeer: on the listener for other nodes. */
    void reached(ClientLimit limit, int status, bool fromPeer);

private:
    struct Entry
    {
        Counter *counter = nullptr;
        std::atomic<TimePoint> nextLog{};
    };

    std::array<Entry, 4> m_entries;
    RequestLog *m_log;
};

} // namespace Hornbeam
