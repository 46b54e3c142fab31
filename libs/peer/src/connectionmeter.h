#pragma once

#include <hornbeam/base/timerservice.h>

#include <cstdint>
#include <memory>

namespace Hornbeam {

class Counter;
class MetricsRegistry;

/** Counters shared by all peer connections of a process. */
struct PeerByteCounters
{
    explicit PeerByteCounters(MetricsRegistry &metrics);

    Counter &sent;
    Counter &received;
};

/**
 * Counts the bytes of a TCP connection that another library owns, from the kernel's statistics. They cover framing and
 * retransmissions, but no IP and TCP headers. Holds a duplicate of the descriptor; the owner ends the connection by
 * shutdown(), so the duplicate does not keep it open.
 */
class ConnectionMeter
{
public:
    /** Duplicates @p descriptor. Null when the process has no descriptor left. */
    static std::unique_ptr<ConnectionMeter> make(int descriptor, PeerByteCounters counters, TimePoint now);

    /** Counts the bytes since the last sample. */
    ~ConnectionMeter();

    ConnectionMeter(const ConnectionMeter &) = delete;
    ConnectionMeter &operator=(const ConnectionMeter &) = delete;

    /** Counts the bytes since the last sample. Returns false when the connection is not established any more. */
    bool sample(TimePoint now);

    /** When a sample last showed traffic. */
    TimePoint lastActivity() const
    {
        return m_lastActivity;
    }

    /** Ends the connection in both directions. */
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
