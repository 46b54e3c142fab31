#pragma once

#include <hornbeam/base/timerservice.h>

#include <cstddef>
#include <cstdint>
#include <mutex>

namespace Hornbeam {

struct LinkPacerOptions
{
    double megabitsPerSecond = 0; ///< Capacity of the host's link in each direction; 0 for no pacing.
};

/** Time that a response still waits for a link after the @p work of its target, if the wait is @p linkWait now. */
Duration linkWaitAfter(Duration work, Duration linkWait);

/**
 * Paces large responses, so that small responses do not wait behind them in the queue of the host's link. Each piece
 * of a large response is sent when the link has sent everything before it; small responses are sent at once. LinkQueue
 * decides which response sends the next piece. Also estimates how long another large response would wait. Thread-safe.
 */
class LinkPacer
{
public:
    explicit LinkPacer(LinkPacerOptions options);

    /** Whether the link is slow enough for large responses to delay small ones. */
    bool isPacing() const
    {
        return m_bytesPerSecond > 0;
    }

    /** Reserves the link for a piece of a large response; returns the time to wait before sending it. */
    Duration reserve(std::size_t bytes, TimePoint now);

    /** Accounts for bytes that are sent without pacing. */
    void addUnpaced(std::size_t bytes, TimePoint now);

    /** Adds a large response of average size to the bytes that remain to be sent; returns that size. */
    double largeResponseStarted();

    /** Subtracts bytes that have been sent, at most those that largeResponseStarted() returned. */
    void largeResponseSent(double bytes);

    /** @p bytes: size of the response that has ended, 0 if it failed. @p remaining: its bytes still accounted for. */
    void largeResponseEnded(std::size_t bytes, double remaining);

    /** Time that the link needs for the remaining bytes of all large responses that have started. */
    Duration largeResponseWait() const;

    /** Whether memory allows to buffer another large response; callers that read slowly can keep many of them alive. */
    bool canBufferLargeResponse() const;

    /** Time that the link needs for a large response of average size. */
    Duration largeResponseTime() const;

private:
    Duration timeOf(double bytes) const;

    const double m_bytesPerSecond;
    mutable std::mutex m_mutex;
    TimePoint m_freeAt = TimePoint::min(); ///< When the link will have sent everything that is accounted for.
    double m_largeBytes; ///< Moving average of the size of a large response.
    double m_largeRemaining = 0; ///< Bytes that large responses in progress are expected to send.
};

} // namespace Hornbeam
