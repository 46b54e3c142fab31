#include "quotachecks.h"

using namespace Hornbeam;

namespace {

const AccountLimit large{.name = "large", .ratePerSecond = 800, .burst = 800};
const AccountLimit small{.name = "small", .ratePerSecond = 5, .burst = 5};

} // namespace

TEST_GROUP(RateLimitLoad)
{
    void playSteady(const AccountLimit &limit, double factor, RateLimitFleet::Choose choose = {})
    {
        fleet.setLimits({limit});
        fleet.setDemand(limit.name, limit.ratePerSecond * 0.6, choose);
        fleet.run(5);
        fleet.records[limit.name].restart();
        fleet.setDemand(limit.name, limit.ratePerSecond * factor, choose);
        fleet.run(30);
        const auto &record = fleet.records[limit.name];
        printRecord(record, limit);
        checkWindow(record, limit);
        checkShare(record, limit.name);
        if (factor < 1) {
            checkNothingLost(record, limit.name);
        }
    }

    RateLimitFleet fleet{68, 3, testSeed()};
};

TEST(RateLimitLoad, steadyBelowTheLimitLosesNothing)
{
    playSteady(large, 0.9);
}

TEST(RateLimitLoad, smallAccountBelowTheLimitLosesNothing)
{
    playSteady(small, 0.6);
}

TEST(RateLimitLoad, slightlyAboveTheLimitGetsTheLimit)
{
    playSteady(large, 1.1);
}

TEST(RateLimitLoad, farAboveTheLimitGetsTheLimit)
{
    playSteady(large, 7.5);
}

TEST(RateLimitLoad, smallAccountFarAboveTheLimitGetsTheLimit)
{
    playSteady(small, 7.5);
}

TEST(RateLimitLoad, allRequestsAtOneNode)
{
    const auto one = [](TimePoint) {
        return std::size_t{7};
    };
    playSteady(large, 0.9, one);
}

TEST(RateLimitLoad, allRequestsAtOneNodeFarAboveTheLimit)
{
    const auto one = [](TimePoint) {
        return std::size_t{7};
    };
    playSteady(large, 7.5, one);
}

TEST(RateLimitLoad, requestsWanderFromNodeToNode)
{
    // A node that is given a share by its earlier demand would refuse all but the first requests.
    const auto wandering = [](TimePoint now) {
        return static_cast<std::size_t>(now.time_since_epoch() / std::chrono::milliseconds(300)) % 68;
    };
    playSteady(large, 0.9, wandering);
}

TEST(RateLimitLoad, requestsWanderFromNodeToNodeFarAboveTheLimit)
{
    const auto wandering = [](TimePoint now) {
        return static_cast<std::size_t>(now.time_since_epoch() / std::chrono::milliseconds(300)) % 68;
    };
    playSteady(large, 7.5, wandering);
}

namespace {

/** One account after the other sends @p factor times its usual demand for 5 s. */
void playHotAccounts(RateLimitFleet &fleet, const std::vector<std::size_t> &hot, double factor)
{
    std::vector<double> demands;
    const auto limits = skewedLimits(76, demands);
    fleet.setLimits(limits);
    for (std::size_t i = 0; i < limits.size(); ++i) {
        fleet.setDemand(limits[i].name, demands[i]);
    }
    fleet.run(5);
    for (const auto index : hot) {
        for (const auto &it : limits) {
            fleet.records[it.name].restart();
        }
        const auto &limit = limits[index];
        fleet.setDemand(limit.name, factor * demands[index]);
        fleet.run(5);
        fleet.setDemand(limit.name, demands[index]);
        printRecord(fleet.records[limit.name], limit);
        checkShare(fleet.records[limit.name], limit.name);
        fleet.run(3);
        for (const auto &it : limits) {
            checkWindow(fleet.records[it.name], it);
            if (it.name != limit.name) {
                checkNothingLost(fleet.records[it.name], it.name);
            }
        }
    }
}

} // namespace

TEST(RateLimitLoad, hotAccountsAmongSkewedOnes)
{
    playHotAccounts(fleet, {0, 1, 5, 20, 75}, 7.5);
}

TEST(RateLimitLoad, hotAccountsWithLostMessages)
{
    fleet.loss = 0.025;
    playHotAccounts(fleet, {0, 3, 40, 75}, 6);
}

TEST(RateLimitLoad, hotAccountsOn300Nodes)
{
    RateLimitFleet large300(300, 3, testSeed());
    playHotAccounts(large300, {0, 10, 75}, 7.5);
}

TEST(RateLimitLoad, costOfANodeDoesNotGrowWithTheFleet)
{
    std::vector<double> perNode;
    for (const std::size_t nodes : {68, 300}) {
        RateLimitFleet measured(nodes, 3, testSeed());
        std::vector<double> demands;
        auto limits = skewedLimits(76, demands);
        for (auto &it : limits) {
            it.ratePerSecond *= static_cast<double>(nodes) / 68;
            it.burst *= static_cast<double>(nodes) / 68;
        }
        measured.setLimits(limits);
        for (std::size_t i = 0; i < limits.size(); ++i) {
            // The same number of requests for each node.
            measured.setDemand(limits[i].name, demands[i] * static_cast<double>(nodes) / 68);
        }
        measured.run(3);
        measured.messages = 0;
        measured.bytes = 0;
        measured.run(10);
        perNode.push_back(static_cast<double>(measured.bytes) / 10 / static_cast<double>(nodes));
        std::printf("%zu nodes: %.1f messages and %.0f bytes a second and node, largest %zu\n",
                    nodes,
                    static_cast<double>(measured.messages) / 10 / static_cast<double>(nodes),
                    perNode.back(),
                    measured.largestMessage);
        CHECK(measured.largestMessage <= 1000);
    }
    CHECK(perNode[1] < perNode[0] * 1.1);
}
