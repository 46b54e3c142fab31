#pragma once

#include <hornbeam/base/timerservice.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

namespace Hornbeam {

/**
 * Limit for buffered large responses, and for the size that a target can announce. The smallest hosts have 88 MB of
 * memory, of which a node uses 10 MB.
 */
constexpr std::size_t maxLargeResponseBytes = std::size_t{16} * 1024 * 1024;

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

    /**
     * Reserves the link for a piece of a large response; returns the time to wait before sending it. @p backlogged: the
     * piece was waiting, so that the link has been idle only because the process was delayed.
     */
    Duration reserve(std::size_t bytes, TimePoint now, bool backlogged = false);

    /** Accounts for bytes that are sent without pacing. */
    void addUnpaced(std::size_t bytes, TimePoint now);

    /** Adds a large response of average size to those that remain to be sent; returns its id. */
    std::uint64_t largeResponseStarted(TimePoint deadline);

    /** Replaces the average size by the one that the head of the response announces; call it before any byte is sent.
     */
    void largeResponseAnnounced(std::size_t bytes, std::uint64_t id);

    /** Moves the deadline of a response, unless it is earlier. */
    void largeResponseLimited(TimePoint deadline, std::uint64_t id);

    /** Subtracts bytes that have been sent, at most those that remain of the response. */
    void largeResponseSent(std::size_t bytes, std::uint64_t id);

    /** Removes a response. @p bytes: its size, 0 if it failed. */
    void largeResponseEnded(std::size_t bytes, std::uint64_t id);

    /**
     * Time that the link needs for the remaining bytes of the large responses with a deadline of at most @p deadline.
     * @p except: the id of one that does not count.
     */
    Duration largeResponseWait(TimePoint deadline = TimePoint::max(), std::optional<std::uint64_t> except = {}) const;

    /**
     * Whether another large response with @p deadline would delay one in progress beyond its own, later deadline. One
     * that will miss its deadline anyway does not count.
     */
    bool wouldCutOff(TimePoint deadline, TimePoint now) const;

    /** Whether memory allows to buffer another large response; callers that read slowly can keep many of them alive. */
    bool canBufferLargeResponse() const;

    /** Time that the link needs for a large response of average size. */
    Duration largeResponseTime() const;

    /** The same for one of the largest size that is announced by a response in progress, or of average size. */
    Duration longestLargeResponseTime() const;

private:
    struct LargeResponseEntry
    {
        TimePoint deadline;
        double remaining = 0; ///< Bytes that are expected to be sent.
        double announced = 0; ///< Size of the response; 0 if it is not known.
    };

    Duration timeOf(double bytes) const;
    double remainingBytes(TimePoint deadline, std::optional<std::uint64_t> except = {}) const;
    void learnSize(std::size_t bytes);

    const double m_bytesPerSecond;
    mutable std::mutex m_mutex;
    TimePoint m_freeAt = TimePoint::min(); ///< When the link will have sent everything that is accounted for.
    double m_largeBytes; ///< Moving average of the size of a large response.
    std::size_t m_learnedSizes = 0; ///< Number of responses in the average.
    std::map<std::uint64_t, LargeResponseEntry> m_large; ///< The large responses in progress by id.
    std::uint64_t m_nextId = 0;
};

} // namespace Hornbeam
