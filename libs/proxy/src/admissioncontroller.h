#pragma once

#include "admissionrank.h"

#include <hornbeam/base/timerservice.h>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>

namespace Hornbeam {

/** A request that can be queued until a slot of its service is free. */
class QueuedRequest
{
public:
    /** @p latestStart: the request is rejected if it has no slot by then, even when its deadline is later. */
    QueuedRequest(AdmissionRank rank, TimePoint deadline, TimePoint latestStart = TimePoint::max());
    virtual ~QueuedRequest() = default;

    /** Takes a slot of a suitable target. Returns false if no such slot is free. */
    virtual bool tryStart() = 0;

    /** Whether the request can no longer get a slot, for example because its target was removed. */
    virtual bool isObsolete() const
    {
        return false;
    }

    /**
     * Called once when the controller drops the request from the queue without a slot. Not called for a request that is
     * removed with AdmissionController::remove().
     */
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
 * Admits requests to the slots of one service and queues the excess by rank.
 * A request that is not expected to start by its latest start and finish before its deadline is refused immediately
 * instead of being queued. When the queue is full, a request of a better rank evicts the newest request of the worst
 * rank. Not thread-safe.
 */
class AdmissionController
{
public:
    enum class Decision {
        Started,
        Queued,
        QueueFull,
        TooLate, ///< Not expected to start by the latest start and finish before the deadline.
    };

    explicit AdmissionController(std::uint32_t maxQueued);

    /** @p slots: total slots of the service's targets. */
    Decision admit(const QueuedRequestPtr &request, std::uint32_t slots, TimePoint now);

    /**
     * Starts queued requests while slots are free. Rejects those that are obsolete, past their latest start or not
     * expected to finish before their deadline.
     */
    void slotsChanged(TimePoint now);

    /** Removes a request without calling rejected(), for example when its caller has disconnected. */
    void remove(const QueuedRequestPtr &request);

    /** Updates the average duration with the time for which a request held its slot. */
    void recordDuration(Duration duration);

    /** Estimated queueing time of a new request of @p rank. @p slots: total slots of the service's targets. */
    Duration estimatedWait(AdmissionRank rank, std::uint32_t slots) const;

    std::size_t queued() const;

    /** Queued requests that get a slot before a new request of @p rank. */
    std::size_t queuedAhead(AdmissionRank rank) const;

    /** Number of queued requests per AdmissionRank::value(). */
    std::array<std::uint32_t, AdmissionRank::count> queuedByRank() const;

    /** Moving average of the time for which requests hold their slots. */
    Duration averageDuration() const
    {
        return m_averageDuration;
    }

private:
    using Queue = std::deque<QueuedRequestPtr>;

    bool evictBelow(AdmissionRank rank);

    std::uint32_t m_maxQueued;
    std::array<Queue, AdmissionRank::queueCount> m_queues; ///< Indexed by AdmissionRank::queueIndex().
    Duration m_averageDuration = Duration::zero();
};

} // namespace Hornbeam
