#pragma once

#include <hornbeam/base/timerservice.h>

namespace Hornbeam {

/** Limits the rate of calls. Short bursts pass without delay. */
class RateLimiter
{
public:
    /** Admits a call and returns how long it has to wait to keep to the rate. */
    Duration reserve(double callsPerSecond, TimePoint now);

    /** Admits a call only if it does not have to wait; returns whether it was admitted. */
    bool tryReserve(double callsPerSecond, TimePoint now);

private:
    Duration waitTime(TimePoint now) const;

    TimePoint m_next; ///< When the rate permits the next call, burst tolerance not included.
};

} // namespace Hornbeam
