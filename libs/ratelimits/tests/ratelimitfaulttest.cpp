#include "quotachecks.h"

using namespace Hornbeam;

namespace {

/** Time after which the membership reports a node that has ended or can't be reached. */
constexpr double detectionSeconds = 5;

const AccountLimit hot{.name = "hot", .ratePerSecond = 800, .burst = 800};
const AccountLimit usual{.name = "usual", .ratePerSecond = 100, .burst = 100};

} // namespace

TEST_GROUP(RateLimitFault)
{
    void setup() override
    {
        fleet.loss = 0.025;
        fleet.setLimits({hot, usual});
        fleet.setDemand(hot.name, 500);
        fleet.setDemand(usual.name, 62);
        fleet.run(10);
        restart();
    }

    void restart()
    {
        fleet.records[hot.name].restart();
        fleet.records[usual.name].restart();
    }

    void heat()
    {
        fleet.setDemand(hot.name, 7.5 * 500);
    }

    void checkWindows()
    {
        printRecord(fleet.records[hot.name], hot);
        printRecord(fleet.records[usual.name], usual);
        checkWindow(fleet.records[hot.name], hot);
        checkWindow(fleet.records[usual.name], usual);
    }

    std::vector<std::size_t> zoneNodes(std::size_t zone)
    {
        std::vector<std::size_t> nodes;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (fleet.zoneOf(i) == zone) {
                nodes.push_back(i);
            }
        }
        return nodes;
    }

    /** Callers reach only nodes for which @p reachable is true. */
    RateLimitFleet::Choose callersOf(const std::function<bool(std::size_t)> &reachable)
    {
        return [this, reachable](TimePoint) {
            auto index = fleet.randomNode();
            while (!reachable(index)) {
                index = fleet.randomNode();
            }
            return index;
        };
    }

    RateLimitFleet fleet{68, 3, testSeed()};
};

TEST(RateLimitFault, coordinatorKilledWhileAnAccountIsHot)
{
    heat();
    fleet.run(2);
    fleet.kill(fleet.coordinatorOf(0));
    fleet.run(detectionSeconds);
    fleet.publishMembers();
    fleet.run(10);
    checkWindows();
    checkShare(fleet.records[hot.name], hot.name);
    checkNothingLost(fleet.records[usual.name], usual.name);
}

TEST(RateLimitFault, allCoordinatorsKilledWhenAnAccountBecomesHot)
{
    for (std::size_t zone = 0; zone < 3; ++zone) {
        fleet.kill(fleet.coordinatorOf(zone));
    }
    heat();
    fleet.run(detectionSeconds);
    fleet.publishMembers();
    fleet.run(10);
    checkWindows();
    // No process is left that knows how much of the burst was there, and new coordinators must not bring one.
    fleet.records[hot.name].permitted -= static_cast<std::size_t>(hot.burst);
    checkShare(fleet.records[hot.name], hot.name);
    checkNothingLost(fleet.records[usual.name], usual.name);
}

TEST(RateLimitFault, coordinatorPausedWhileAnAccountIsHot)
{
    heat();
    fleet.run(2);
    const auto coordinator = fleet.coordinatorOf(0);
    fleet.setPaused(coordinator, true);
    fleet.run(3);
    fleet.setPaused(coordinator, false);
    fleet.run(10);
    checkWindows();
    checkShare(fleet.records[hot.name], hot.name);
    checkNothingLost(fleet.records[usual.name], usual.name);
}

TEST(RateLimitFault, answersOfTheCoordinatorAreCutOff)
{
    const auto coordinator = fleet.coordinatorOf(0);
    fleet.cut = [coordinator](std::size_t from, std::size_t) {
        return from == coordinator;
    };
    heat();
    fleet.run(10);
    fleet.cut = {};
    fleet.run(10);
    checkWindows();
    checkShare(fleet.records[hot.name], hot.name);
    checkNothingLost(fleet.records[usual.name], usual.name);
}

TEST(RateLimitFault, reportsToTheCoordinatorAreCutOff)
{
    const auto coordinator = fleet.coordinatorOf(0);
    fleet.cut = [coordinator](std::size_t, std::size_t to) {
        return to == coordinator;
    };
    heat();
    fleet.run(10);
    fleet.cut = {};
    fleet.run(10);
    checkWindows();
    checkShare(fleet.records[hot.name], hot.name);
    checkNothingLost(fleet.records[usual.name], usual.name);
}

TEST(RateLimitFault, zoneCutWhileAnAccountIsHotOnBothSides)
{
    heat();
    fleet.run(2);
    fleet.cut = [this](std::size_t from, std::size_t to) {
        return (fleet.zoneOf(from) == 0) != (fleet.zoneOf(to) == 0);
    };
    fleet.run(detectionSeconds);
    fleet.publishMembers();
    fleet.run(5);
    fleet.cut = {};
    fleet.run(1);
    fleet.publishMembers();
    fleet.run(10);
    checkWindows();
    checkShare(fleet.records[hot.name], hot.name);
    checkNothingLost(fleet.records[usual.name], usual.name);
}

TEST(RateLimitFault, accountBecomesHotOnBothSidesOfACutZone)
{
    fleet.cut = [this](std::size_t from, std::size_t to) {
        return (fleet.zoneOf(from) == 0) != (fleet.zoneOf(to) == 0);
    };
    heat();
    fleet.run(5);
    fleet.cut = {};
    fleet.run(10);
    checkWindows();
    checkShare(fleet.records[hot.name], hot.name);
    checkNothingLost(fleet.records[usual.name], usual.name);
}

TEST(RateLimitFault, coordinatorKilledInACutZone)
{
    fleet.cut = [this](std::size_t from, std::size_t to) {
        return (fleet.zoneOf(from) == 0) != (fleet.zoneOf(to) == 0);
    };
    heat();
    fleet.run(2);
    fleet.kill(fleet.coordinatorOf(0));
    fleet.run(5);
    fleet.publishMembers();
    fleet.run(5);
    fleet.cut = {};
    fleet.publishMembers();
    fleet.run(10);
    checkWindows();
    checkNothingLost(fleet.records[usual.name], usual.name);
}

TEST(RateLimitFault, halfOfTheNodesRestartedWhileAnAccountIsHot)
{
    heat();
    fleet.run(3);
    for (std::size_t i = 0; i < fleet.size(); i += 2) {
        fleet.kill(i);
    }
    const auto survivors = callersOf([](std::size_t index) { return index % 2 == 1; });
    fleet.setDemand(hot.name, 7.5 * 500, survivors);
    fleet.setDemand(usual.name, 62, survivors);
    fleet.run(1.5);
    for (std::size_t i = 0; i < fleet.size(); i += 2) {
        fleet.startNode(i);
    }
    fleet.publishMembers();
    heat();
    fleet.setDemand(usual.name, 62);
    fleet.run(12);
    checkWindows();
    checkShare(fleet.records[hot.name], hot.name);
    checkNothingLost(fleet.records[usual.name], usual.name);
}

TEST(RateLimitFault, allNodesRestartedWhileAnAccountIsHot)
{
    heat();
    fleet.run(3);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.kill(i);
    }
    fleet.run(0.5);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.startNode(i);
    }
    fleet.publishMembers();
    fleet.run(12);
    checkWindows();
    checkShare(fleet.records[hot.name], hot.name);
    checkNothingLost(fleet.records[usual.name], usual.name);
}

TEST(RateLimitFault, singleNodesCutOff)
{
    fleet.cut = [](std::size_t from, std::size_t to) {
        return from != to && (from % 14 == 3 || to % 14 == 3);
    };
    heat();
    fleet.run(detectionSeconds);
    fleet.publishMembers();
    fleet.run(10);
    fleet.cut = {};
    fleet.publishMembers();
    fleet.run(10);
    checkWindows();
    checkShare(fleet.records[hot.name], hot.name);
}

TEST(RateLimitFault, restartedNodesThatCountOnlyThemselvesBringNoFreshBurst)
{
    heat();
    fleet.run(5);
    fleet.cut = [](std::size_t from, std::size_t to) {
        return from != to && (from % 14 == 3 || to % 14 == 3);
    };
    for (std::size_t i = 3; i < fleet.size(); i += 14) {
        fleet.kill(i);
        fleet.startNode(i);
    }
    fleet.publishMembers();
    fleet.run(10);
    checkWindows();
    checkShare(fleet.records[hot.name], hot.name);
}

TEST(RateLimitFault, lowerLimitBindsInTheNextWindow)
{
    heat();
    fleet.run(10);
    auto lower = hot;
    lower.ratePerSecond = 80;
    lower.burst = 80;
    fleet.setLimits({lower, usual});
    fleet.records[hot.name].clearWindow();
    fleet.run(10);
    printRecord(fleet.records[hot.name], lower);
    checkWindow(fleet.records[hot.name], lower);
}

TEST(RateLimitFault, lowerLimitWithoutCoordinatorsBindsInTheNextWindow)
{
    heat();
    fleet.run(10);
    fleet.cut = [](std::size_t from, std::size_t to) {
        return from != to;
    };
    fleet.run(3);
    auto lower = hot;
    lower.ratePerSecond = 80;
    lower.burst = 80;
    fleet.setLimits({lower, usual});
    fleet.records[hot.name].clearWindow();
    fleet.run(10);
    printRecord(fleet.records[hot.name], lower);
    checkWindow(fleet.records[hot.name], lower);
}

TEST(RateLimitFault, higherLimitIsAvailableAtOnce)
{
    auto higher = hot;
    higher.ratePerSecond = 6000;
    higher.burst = 6000;
    heat();
    fleet.run(5);
    fleet.setLimits({higher, usual});
    fleet.run(3);
    restart();
    fleet.run(10);
    checkNothingLost(fleet.records[hot.name], hot.name);
}
