#include "placementsimulation.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

SimulationOptions options(std::uint32_t nodes, std::uint32_t targets, double requestsPerSecond)
{
    return {.nodes = nodes,
            .targets = targets,
            .slots = 12,
            .requestsPerSecond = requestsPerSecond,
            .speeds = {0.7, 0.7, 1.7},
            .work = 190ms,
            .nested = 60ms,
            .objective = 600ms,
            .released = 0,
            .length = 10000ms,
            .swing = 0.55,
            .noiseShare = 0.15,
            .tailShare = 0.03};
}

/** Share of the requests in time over two seeds. */
double inTime(SimulationOptions simulated)
{
    double share = 0;
    for (simulated.seed = 1; simulated.seed <= 2; ++simulated.seed) {
        PlacementSimulation simulation(simulated);
        simulation.run();
        share += simulation.between(2s, 10s).inTimeShare() / 2;
    }
    return share;
}

void checkAgainstOracle(SimulationOptions simulated)
{
    constexpr double mayLose = 0.05;
    simulated.loadFactor = true;
    const auto placed = inTime(simulated);
    simulated.oracle = true;
    simulated.placement.jitter = 1ms;
    const auto best = inTime(simulated);
    CHECK_TEXT(placed >= best - mayLose, (std::to_string(placed) + " in time, oracle " + std::to_string(best)).c_str());
}

} // namespace

/**
 * Load: the demand of each zone rises and falls by 0.55, one zone after the other; targets differ in speed by up to
 * 2.4, and at any time 0.15 of them are slowed down by a factor of 2.5 for 0.6 s. At the peak, the demand exceeds the
 * slots. A node sends to each target less than once a second, so its reports are seconds old.
 */
TEST_GROUP(PlacementWave){};

// Guards against placing requests at targets whose hosts are slow at the moment.
TEST(PlacementWave, avoidsHostsThatAreSlowAtTheMoment)
{
    auto simulated = options(62, 32, 1000);
    const auto without = inTime(simulated);
    simulated.loadFactor = true;
    const auto with = inTime(simulated);
    CHECK_TEXT(with >= without + 0.01, (std::to_string(with) + " in time, " + std::to_string(without)).c_str());
}

// Guard against decisions on old reports that lose more than 0.05 to those of an oracle that knows every queue.
TEST(PlacementWave, comesCloseToAnOracleWith7Targets)
{
    checkAgainstOracle(options(62, 7, 220));
}

TEST(PlacementWave, comesCloseToAnOracleWith32Targets)
{
    checkAgainstOracle(options(62, 32, 1000));
}
