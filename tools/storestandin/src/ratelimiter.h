#pragma once

#include <hornbeam/base/timerservice.h>

namespace Hornbeam {

/** Spreads calls so that their rate stays at a bound; a short burst passes at once. */
class RateLimiter
{
public:
    /** Takes a place in the sequence of calls and returns how long the call has to wait for it. */
    Duration reserve(double callsPerSecond, TimePoint now);

    /** Takes a place only when it needs no wait. */
    bool tryReserve(double callsPerSecond, TimePoint now);

private:
    Duration waitAt(TimePoint now) const;

    TimePoint m_next; ///< When the call after the last reserved one is due.
};

} // namespace Hornbeam
