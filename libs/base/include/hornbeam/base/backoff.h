#pragma once

#include <hornbeam/base/timerservice.h>

#include <cstdint>
#include <random>

namespace Hornbeam {

struct BackoffOptions
{
    Duration initial = std::chrono::milliseconds(50); ///< Upper bound of the first delay.
    Duration maximum = std::chrono::seconds(5); ///< Upper bound of every delay.
    std::uint64_t seed = 0; ///< Seed of the random delays; 0 for a random seed from the operating system.
};

/**
 * Exponential backoff with full jitter: each delay is uniform between zero and a bound that doubles with each failure.
 * Full jitter spreads the reconnects of many processes that fail at the same time.
 */
class Backoff
{
public:
    explicit Backoff(BackoffOptions options);

    /** Returns the delay before the next attempt and doubles the bound. */
    Duration next();

    /** Restores the initial bound; call it after a success. */
    void reset();

private:
    BackoffOptions m_options;
    Duration m_bound;
    std::mt19937_64 m_random;
};

} // namespace Hornbeam
