#include "placementsimulation.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** Share of the requests sent in the last seconds, long after the release, that are answered in time. */
double inTimeAtTheEnd(std::uint32_t released, std::uint64_t seed)
{
    PlacementSimulation simulation({.requestsPerSecond = 1150, .released = released, .seed = seed});
    simulation.run();
    return simulation.between(20s, 25s).inTimeShare();
}

} // namespace

/** Load: 88 nodes send some 13 requests a second each to 45 targets, of which 14 are replaced within six seconds. */
TEST_GROUP(PlacementRelease){};

// Guards against queues that outlive a release. New targets are slow at first; a node that keeps the service time of
// its first response avoids them for good and overloads the others.
TEST(PlacementRelease, leavesNoQueuesBehind)
{
    constexpr double noise = 0.01;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const auto without = inTimeAtTheEnd(0, seed);
        const auto after = inTimeAtTheEnd(14, seed);
        CHECK_TEXT(after >= without - noise,
                   (std::to_string(after) + " in time after the release, " + std::to_string(without)
                    + " without one, seed " + std::to_string(seed))
                       .c_str());
    }
}

// Guards against a release whose new targets are chosen by all nodes at once, because their service time is unknown and
// therefore assumed to be short.
TEST(PlacementRelease, servesCallersDuringARelease)
{
    PlacementSimulation simulation({});
    simulation.run();
    const auto during = simulation.between(10s, 16s);
    CHECK_TEXT(during.inTimeShare() >= 0.97, std::to_string(during.inTimeShare()).c_str());
}
