#include "outlierdetector.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(OutlierDetector)
{
    const TimePoint now{1h};
    std::vector<TargetLoadPtr> service;
    OutlierDetector detector{{.failureThreshold = 3, .baseEjectionTime = 2s, .maxEjectionTime = 10s}};

    void setup() override
    {
        for (int i = 0; i < 4; ++i) {
            service.push_back(std::make_shared<TargetLoad>());
        }
    }

    bool fail(std::size_t index, int times, TimePoint at)
    {
        bool ejected = false;
        for (int i = 0; i < times; ++i) {
            ejected = detector.recordFailure(*service[index], service, at) || ejected;
        }
        return ejected;
    }
};

TEST(OutlierDetector, ejectsAfterConsecutiveFailures)
{
    CHECK(!fail(0, 2, now));
    CHECK(!service[0]->isEjected(now));
    CHECK(fail(0, 1, now));
    CHECK(service[0]->isEjected(now));
    CHECK(!service[0]->isEjected(now + 2s));
}

TEST(OutlierDetector, restartsTheCountAfterASuccess)
{
    fail(0, 2, now);
    detector.recordSuccess(*service[0], now);
    CHECK(!fail(0, 2, now));
}

// If the cause of the failures is elsewhere, for example in the network, all targets fail, and ejecting all of them
// would cause an outage of the service.
TEST(OutlierDetector, neverEjectsMoreThanHalfOfTheTargets)
{
    for (std::size_t i = 0; i < service.size(); ++i) {
        fail(i, 10, now);
    }
    int ejected = 0;
    for (const auto &load : service) {
        ejected += load->isEjected(now) ? 1 : 0;
    }
    CHECK_EQUAL(2, ejected);
    service.resize(1);
    service[0] = std::make_shared<TargetLoad>();
    CHECK(!fail(0, 10, now));
}

TEST(OutlierDetector, ejectsForAGrowingBoundedTime)
{
    auto at = now;
    for (const auto expected : {2s, 4s, 8s, 10s, 10s}) {
        CHECK(fail(0, 3, at));
        CHECK(service[0]->ejectedUntil - at == expected);
        at = service[0]->ejectedUntil;
    }
    detector.recordSuccess(*service[0], at);
    fail(0, 3, at);
    CHECK(service[0]->ejectedUntil - at == 2s);
}
