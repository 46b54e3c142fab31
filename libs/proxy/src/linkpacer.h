#pragma once

#include <hornbeam/base/timerservice.h>

#include <cstddef>
#include <cstdint>
#include <mutex>

namespace Hornbeam {

struct LinkPacerOptions
{
    double megabitsPerSecond = 0; ///< What the link of the host carries in each direction; 0 for no pacing.
};

/** Wait for a link after the @p work of a target, during which the link goes on sending; @p linkWait is the wait now.
 */
Duration linkWaitAfter(Duration work, Duration linkWait);

/**
 * Keeps large responses from filling the queue of the host's link, in which small ones would wait behind them. The
 * pieces of large responses are sent when the link has sent everything before them; small responses are sent at once.
 * Also estimates how long another large response would wait. Safe from any thread.
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

    /** Takes the link for a piece of a large response; returns how long to wait before it is sent. */
    Duration reserve(std::size_t bytes, TimePoint now);

    /** Counts bytes that are sent at once. */
    void spend(std::size_t bytes, TimePoint now);

    /** Counts a large response of the usual size as still to be sent; returns these bytes. */
    double largeResponseStarted();

    /** Counts bytes of those that largeResponseStarted() returned as sent. */
    void largeResponseSent(double bytes);

    /** @p bytes: size of the response that has ended; 0 when it failed. @p remaining: what was still to be sent. */
    void largeResponseEnded(std::size_t bytes, double remaining);

    /** Time that the link needs for what remains of the large responses which have started. */
    Duration largeResponseWait() const;

    /** Whether memory is left to hold another large response; callers that read slowly can keep many of them. */
    bool mayHoldLargeResponse() const;

    /** Time that a large response of the usual size needs on the link. */
    Duration largeResponseTime() const;

private:
    Duration timeOf(double bytes) const;

    const double m_bytesPerSecond;
    mutable std::mutex m_mutex;
    TimePoint m_freeAt = TimePoint::min();
    double m_largeBytes; ///< Moving mean of the size of a large response.
    double m_largeRemaining = 0; ///< Bytes that the large responses which have started are expected to send still.
};

} // namespace Hornbeam
