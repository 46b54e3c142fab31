#pragma once

#include "ratelimitfleet.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <cstdlib>

namespace Hornbeam {

/** Seed of the simulated requests and losses; HORNBEAM_TEST_SEED replaces the default. */
inline std::uint64_t testSeed()
{
    const char *text = std::getenv("HORNBEAM_TEST_SEED");
    const std::uint64_t seed = text != nullptr ? std::strtoull(text, nullptr, 10) : 20261206;
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    return seed;
}

/** The sum over all nodes stays within the users' terms in every window. */
inline void checkWindow(const AccountRecord &record, const AccountLimit &limit)
{
    if (static_cast<double>(record.largestWindow) > QuotaTerms::largest(limit)) {
        FAIL((limit.name + ": " + std::to_string(record.largestWindow) + " in a window, permitted are "
              + std::to_string(QuotaTerms::largest(limit)))
                 .c_str());
    }
}

/** An account above its limit gets at least 0.95 of what it may have. */
inline void checkShare(const AccountRecord &record, const std::string &name)
{
    if (static_cast<double>(record.admitted) < 0.95 * static_cast<double>(record.permitted)) {
        FAIL((name + ": " + std::to_string(record.admitted) + " admitted, permitted are "
              + std::to_string(record.permitted))
                 .c_str());
    }
}

/** An account below its limit loses nothing that one exact token bucket over all nodes would admit. */
inline void checkNothingLost(const AccountRecord &record, const std::string &name)
{
    if (record.admitted < record.permitted) {
        FAIL((name + ": lost " + std::to_string(record.permitted - record.admitted) + " of "
              + std::to_string(record.asked))
                 .c_str());
    }
}

inline void printRecord(const AccountRecord &record, const AccountLimit &limit)
{
    std::printf("%s: asked %zu, permitted %zu, admitted %zu, largest window %zu of %.0f\n",
                limit.name.c_str(),
                record.asked,
                record.permitted,
                record.admitted,
                record.largestWindow,
                QuotaTerms::largest(limit));
}

} // namespace Hornbeam
