#pragma once

#include "admissionrank.h"

#include <hornbeam/base/timerservice.h>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>

namespace Hornbeam {

/** A request that waits for a slot of its service. */
class QueuedRequest
{
public:
    /** @p latestStart: when the request gives up waiting, although its deadline may be later. */
    QueuedRequest(AdmissionRank rank, TimePoint deadline, TimePoint latestStart = TimePoint::max());
    virtual ~QueuedRequest() = default;

    /** Takes a slot of a target that suits the request; false when none is free. */
    virtual bool tryStart() = 0;

    /** Whether the request can no longer get a slot, for example because its target has gone. */
    virtual bool isObsolete() const
    {
        return false;
    }

    /** Told once when the request left the queue without a slot. */
    virtual void rejected() = 0;

    AdmissionRank rank() const
    {
        return m_rank;
    }

    TimePoint deadline() const
    {
        return m_deadline;
    }

    TimePoint latestStart() const
    {
        return m_latestStart;
    }

private:
    AdmissionRank m_rank;
    TimePoint m_deadline;
    TimePoint m_latestStart;
};

using QueuedRequestPtr = std::shared_ptr<QueuedRequest>;

/**
 * Admits the requests of one service to its slots and queues the others by rank.
 * A request that would probably not finish before its deadline is refused at once instead of waiting in vain. When the
 * queue is full, a request of a better rank displaces the newest one of the worst rank. Not thread-safe.
 */
class AdmissionController
{
public:
    enum class Verdict {
        Started,
        Queued,
        QueueFull,
        TooLate, ///< The estimated wait exceeds the deadline.
    };

    explicit AdmissionController(std::uint32_t maxQueued);

    /** @p slots: slots of all targets of the service. */
    Verdict admit(const QueuedRequestPtr &request, std::uint32_t slots, TimePoint now);

    /** Starts waiting requests as far as slots are free and rejects those whose deadline has passed. */
    void slotsChanged(TimePoint now);

    /** Removes a request whose caller has gone. */
    void remove(const QueuedRequestPtr &request);

    /** Learns how long a request held its slot. */
    void recordDuration(Duration duration);

    /** Estimated wait of a new request of @p rank with @p slots slots. */
    Duration estimatedWait(AdmissionRank rank, std::uint32_t slots) const;

    std::size_t queued() const;

    /** Requests that wait and come before a new one of @p rank. */
    std::size_t queuedAhead(AdmissionRank rank) const;

    /** Requests that wait, by rank. */
    std::array<std::uint32_t, AdmissionRank::count> queuedByRank() const;

    /** Mean time that recent requests held their slots. */
    Duration averageDuration() const
    {
        return m_averageDuration;
    }

private:
    using Queue = std::deque<QueuedRequestPtr>;

    bool displaceBelow(AdmissionRank rank);

    std::uint32_t m_maxQueued;
    std::array<Queue, AdmissionRank::count> m_queues; ///< By rank.
    Duration m_averageDuration = Duration::zero();
};

} // namespace Hornbeam
