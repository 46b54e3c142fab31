#pragma once

#include <hornbeam/base/timerservice.h>

#include <cstdint>
#include <memory>

namespace Hornbeam {

class Counter;
class MetricsRegistry;

/** Traffic counters shared by all peer connections of a process. */
struct PeerByteCounters
{
    explicit PeerByteCounters(MetricsRegistry &metrics);

    Counter &sent;
    Counter &received;
};

/**
 * Counts the bytes of a TCP connection that another library owns, using the kernel's statistics. The counts include
 * framing and retransmissions, but not IP and TCP headers. Holds a duplicate of the descriptor, which does not keep the
 * connection open because the owner ends it with shutdown().
 */
class ConnectionMeter
{
public:
    /** Duplicates @p descriptor. Null when that fails, for example at the limit of open descriptors. */
    static std::unique_ptr<ConnectionMeter> make(int descriptor, PeerByteCounters counters, TimePoint now);

    /** Counts the bytes since the last sample. */
    ~ConnectionMeter();

    ConnectionMeter(const ConnectionMeter &) = delete;
    ConnectionMeter &operator=(const ConnectionMeter &) = delete;

    /** Counts the bytes since the last sample. Returns false when the connection is no longer established. */
    bool sample(TimePoint now);

    /** Time of the last sample that showed traffic. */
    TimePoint lastActivity() const
    {
        return m_lastActivity;
    }

    /** Shuts down both directions of the connection. */
    void shutdown();

private:
    ConnectionMeter(int descriptor, PeerByteCounters counters, TimePoint now);

    int m_descriptor;
    PeerByteCounters m_counters;
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
    TimePoint m_lastActivity;
};

} // namespace Hornbeam
