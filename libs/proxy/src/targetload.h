#pragma once

#include "relayheader.h"
#include "statedload.h"
#include "targetpace.h"

#include <hornbeam/base/timerservice.h>
#include <hornbeam/membership/target.h>
#include <hornbeam/rollouts/versiongate.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <memory>

namespace Hornbeam {

/** Denominator of LoadReport::failuresPerMille. */
inline constexpr double perMille = 1000;

/** Denominator of LoadReport::timePercent. */
inline constexpr double percent = 100;

/** The load of one instance of a target as this node knows it. Guarded by the load balancer's mutex. */
struct TargetLoad
{
    Target target;
    VersionTrack track = VersionTrack::Stable; ///< Which requests may use it during a roll-out.
    std::uint32_t slots = 1;
    std::uint32_t outstanding = 0; ///< Requests of this node that hold a slot of the target.
    TimePoint firstSeen; ///< Start of the slow-start period; TimePoint::min() for none.
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t ejections = 0; ///< Doubles the ejection time; reset by a success after an ejection.
    TimePoint ejectedUntil = TimePoint::min();
    bool local = false; ///< On this host, so this node sends all of its requests.
    bool withdrawn = false; ///< No longer announced; gets no new requests.
    Duration serviceTime = Duration::zero(); ///< Moving average of a request's time at the target; 0 if unknown.
    Duration largeResponseWait = Duration::zero(); ///< For the link of the host of a remote target, at the last report.
    double failureRate = 0; ///< Moving average of the share of failed requests, 0..1.
    LoadReport report; ///< Last report of the target's node.
    TimePoint reportedAt = TimePoint::min();
    std::uint32_t outstandingAtReport = 0; ///< Requests of this node that the report counts.
    TimePoint lastUsed = TimePoint::min();
    double slowdown = 1; ///< Expected time of the next requests, relative to serviceTime.
    TimePoint slowdownAt = TimePoint::min(); ///< When the target or its node stated the slowdown.
    double statedPercent = 100; ///< Moving average of StatedLoad::timePercent; for a target on this host.
    TargetPace pace{{}}; ///< Of a target on this host that is paced.
    std::uint32_t paceLimit = std::numeric_limits<std::uint32_t>::max(); ///< TargetPace::limit() when it last changed.
    std::uint32_t unaccounted = 0; ///< Requests at a target on this host that this node has not sent, as stated.

    bool isEjected(TimePoint now) const
    {
        return now < ejectedUntil;
    }

    /** Takes over the report that came with the response to one of the outstanding requests. */
    void applyReport(const LoadReport &received, TimePoint now)
    {
        report = received;
        reportedAt = now;
        slowdown = received.timePercent / percent;
        slowdownAt = now;
        // The report excludes the request whose response carries it, which still counts as outstanding here.
        outstandingAtReport = outstanding > 0 ? outstanding - 1 : 0;
        slots = received.slots;
        serviceTime = received.serviceTime;
        failureRate = received.failuresPerMille / perMille;
        largeResponseWait = received.largeWait;
    }

    /** Takes over the load that a target on this host states with the response to one of the outstanding requests. */
    void applyStated(const StatedLoad &stated, TimePoint now);

    /** Requests that this node may have outstanding at a target on this host. 0 only while the pace has a pause. */
    std::uint32_t concurrencyLimit() const
    {
        const auto accounted = slots > unaccounted ? slots - unaccounted : 1;
        return std::min(accounted, paceLimit);
    }

    /** Whether the target gets no requests for the moment, so that none should wait for a slot. */
    bool isPaused() const
    {
        return paceLimit == 0;
    }

    bool hasFreeSlot() const
    {
        return outstanding < concurrencyLimit() && !withdrawn;
    }

    /** Whether the target is reached only through another node, which queues and admits its requests. */
    bool isRemote() const
    {
        return target.isBehindGateway() && !local;
    }
};

using TargetLoadPtr = std::shared_ptr<TargetLoad>;

} // namespace Hornbeam
