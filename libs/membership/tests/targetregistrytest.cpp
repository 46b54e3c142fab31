#include <hornbeam/base/faketimerservice.h>
#include <hornbeam/membership/targetregistry.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

Target makeTarget(std::uint16_t port)
{
    return {.address = Endpoint("127.0.0.1", port), .service = "rota", .zone = "south"};
}

} // namespace

TEST_GROUP(TargetRegistry)
{
    FakeTimerService timers;
    int changes = 0;
    std::vector<Target> last;
    TargetRegistry registry{timers, [this](const std::vector<Target> &targets) {
                                ++changes;
                                last = targets;
                            }};
};

// Guards against membership updates to all nodes for every refresh of an unchanged target.
TEST(TargetRegistry, reportsOnlyChanges)
{
    CHECK(registry.announce(makeTarget(80), 5s).has_value());
    CHECK(registry.announce(makeTarget(80), 5s).has_value());
    CHECK_EQUAL(1, changes);
    auto leaving = makeTarget(80);
    leaving.state = TargetState::Leaving;
    CHECK(registry.announce(leaving, 5s).has_value());
    CHECK_EQUAL(2, changes);
    CHECK(last.front().state == TargetState::Leaving);
}

// Guards against requests to a target whose process ended without withdrawing its announcement.
TEST(TargetRegistry, removesTargetsThatAreNotRefreshed)
{
    CHECK(registry.announce(makeTarget(80), 5s).has_value());
    CHECK(registry.announce(makeTarget(81), 8s).has_value());
    timers.advance(4s);
    CHECK(registry.announce(makeTarget(80), 5s).has_value());
    timers.advance(4500ms);
    CHECK_EQUAL(1, last.size());
    CHECK_EQUAL(80, last.front().address.port());
    timers.advance(1s);
    CHECK(registry.targets().empty());
}

// Guards against a restarted target that has the same instance number as its crashed predecessor at the same address.
TEST(TargetRegistry, assignsAnInstancePerStart)
{
    const auto first = registry.announce(makeTarget(80), 5s)->instance;
    CHECK_EQUAL(first, registry.announce(makeTarget(80), 5s)->instance);
    CHECK(registry.withdraw(Endpoint("127.0.0.1", 80)).has_value());
    CHECK(first != registry.announce(makeTarget(80), 5s)->instance);
}

// Guards against a member whose update does not fit into a datagram and therefore never reaches other nodes.
TEST(TargetRegistry, rejectsTargetsThatDoNotFitIntoADatagram)
{
    auto large = makeTarget(80);
    for (int i = 0; i < 6; ++i) {
        large.labels.push_back({.name = std::string(100, static_cast<char>('a' + i)), .value = "x"});
    }
    CHECK(registry.announce(large, 5s).error().code() == ErrorCode::Overloaded);
    for (std::uint16_t port = 1; port <= TargetRegistry::maxTargets; ++port) {
        CHECK(registry.announce(makeTarget(port), 5s).has_value());
    }
    CHECK(registry.announce(makeTarget(100), 5s).error().code() == ErrorCode::Overloaded);
    CHECK(registry.announce(makeTarget(1), 0s).error().code() == ErrorCode::InvalidArgument);
    CHECK(registry.withdraw(Endpoint("127.0.0.1", 100)).error().code() == ErrorCode::NotFound);
}

// Guards against a delayed announcement that replaces a newer one: that of an earlier instance, or an earlier one of
// the same instance.
TEST(TargetRegistry, rejectsStaleAnnouncements)
{
    auto first = makeTarget(80);
    first.name = "i-1";
    first.instance = 100;
    auto second = makeTarget(80);
    second.name = "i-2";
    second.instance = 200;
    CHECK(registry.announce(first, 5s, 1).has_value());
    CHECK(registry.announce(second, 5s, 1).has_value());
    CHECK(ErrorCode::Conflict == registry.announce(first, 5s, 9).error().code());
    STRCMP_EQUAL("i-2", last.front().name.c_str());
    auto leaving = second;
    leaving.state = TargetState::Leaving;
    CHECK(registry.announce(leaving, 5s, 5).has_value());
    CHECK(ErrorCode::Conflict == registry.announce(second, 5s, 4).error().code());
    CHECK(last.front().state == TargetState::Leaving);
}

// Guards against requests to a target that has withdrawn, when an announcement from before the withdrawal arrives late.
TEST(TargetRegistry, keepsATargetWithdrawnUntilItsNextInstance)
{
    auto target = makeTarget(80);
    target.name = "i-1";
    target.instance = 100;
    CHECK(registry.announce(target, 5s, 7).has_value());
    CHECK(registry.withdraw("i-1").has_value());
    CHECK_FALSE(registry.announce(target, 5s, 8).has_value());
    CHECK(registry.targets().empty());
    target.instance = 101;
    CHECK(registry.announce(target, 5s, 1).has_value());
}

// Guards against a withdrawal that is ignored because the node has restarted and does not know the target yet, so that
// a late announcement adds the target again.
TEST(TargetRegistry, remembersTheWithdrawalOfAnUnknownTarget)
{
    auto target = makeTarget(80);
    target.name = "i-1";
    target.instance = 100;
    CHECK(ErrorCode::NotFound == registry.withdraw("i-1", 150).error().code());
    CHECK_FALSE(registry.announce(target, 5s, 8).has_value());
    target.instance = 151;
    CHECK(registry.announce(target, 5s, 1).has_value());
}

// Guards against a late withdrawal of an earlier run that removes a target which has started again under its name.
TEST(TargetRegistry, ignoresTheWithdrawalOfAnEarlierRun)
{
    auto target = makeTarget(80);
    target.name = "i-1";
    target.instance = 200;
    CHECK(registry.announce(target, 5s, 1).has_value());
    CHECK(ErrorCode::Conflict == registry.withdraw("i-1", 100).error().code());
    CHECK_EQUAL(1, registry.targets().size());
    CHECK(registry.announce(target, 5s, 2).has_value());
    CHECK(registry.withdraw("i-1", 200).has_value());
    CHECK(registry.targets().empty());
}

// Guards against requests to a target whose process has ended: it must stay hidden until it announces itself again.
TEST(TargetRegistry, hidesASuspendedTarget)
{
    const auto known = registry.announce(makeTarget(80), 5s);
    registry.suspend(known->address, known->instance + 1);
    CHECK_EQUAL(1, registry.targets().size());
    registry.suspend(known->address, known->instance);
    CHECK(registry.targets().empty());
    CHECK(registry.announce(makeTarget(80), 5s).has_value());
    CHECK_EQUAL(1, registry.targets().size());
}

// Guards against requests to a target whose leaving an earlier process of the node has acknowledged, if a heartbeat
// from before it arrives at the restarted node.
TEST(TargetRegistry, restoredDeparturesMakeLateAnnouncementsStale)
{
    auto target = makeTarget(80);
    target.name = "i-1";
    target.instance = 100;
    registry.hideTargets();
    CHECK(registry.announce(target, 5s, 7).has_value());
    CHECK(registry.targets().empty());
    registry.restore({{.name = "i-1", .instance = 100}});
    CHECK(registry.targets().empty());
    CHECK(ErrorCode::Conflict == registry.announce(target, 5s, 8).error().code());
    target.instance = 101;
    CHECK(registry.announce(target, 5s, 1).has_value());
    CHECK_EQUAL(1, last.size());
}

// Guards against targets that stay unused after a restart because the departures of others are read late or never.
TEST(TargetRegistry, listsOtherTargetsOnceDeparturesAreRestored)
{
    registry.hideTargets();
    CHECK(registry.announce(makeTarget(80), 5s).has_value());
    registry.restore({});
    CHECK_EQUAL(1, last.size());
    auto gone = makeTarget(81);
    gone.name = "i-2";
    gone.instance = 100;
    CHECK(registry.announce(gone, 5s, 3).has_value());
    CHECK_EQUAL(2, last.size());
    registry.restore({{.name = "i-2", .instance = 100}});
    CHECK_EQUAL(1, last.size());
    CHECK_EQUAL(80, last.front().address.port());
}

// Guards against a draining target that serves again when a heartbeat from before the draining arrives at a restarted
// node, and against a store write for each heartbeat of a draining target.
TEST(TargetRegistry, recordsDrainingOnce)
{
    int records = 0;
    registry.subscribeDepartures([&] { ++records; });
    auto target = makeTarget(80);
    target.name = "i-1";
    target.instance = 100;
    CHECK(registry.announce(target, 5s, 7).has_value());
    CHECK_EQUAL(0, records);
    auto leaving = target;
    leaving.state = TargetState::Leaving;
    CHECK(registry.announce(leaving, 5s, 8).has_value());
    CHECK(registry.announce(leaving, 5s, 9).has_value());
    CHECK_EQUAL(1, records);
    const auto departures = registry.departures();
    CHECK((departures == std::vector<Departure>{{.name = "i-1", .instance = 100, .sequence = 7}}));

    TargetRegistry restarted{timers, [](const std::vector<Target> &) {
                             }};
    restarted.restore(departures);
    CHECK(ErrorCode::Conflict == restarted.announce(target, 5s, 7).error().code());
    CHECK(restarted.announce(leaving, 5s, 10).has_value());
    CHECK(restarted.targets().front().state == TargetState::Leaving);
}

// Guards against departures that are kept forever.
TEST(TargetRegistry, forgetsDeparturesAfterTenMinutes)
{
    CHECK_FALSE(registry.withdraw("i-1", 100).has_value());
    CHECK_EQUAL(1, registry.departures().size());
    timers.advance(10min);
    CHECK(registry.departures().empty());
}

// Guards against an acknowledged draining without effect: an announcement of another writer, without an instance
// number, must not set the sequence number or the state of a target that has one, nor replace it.
TEST(TargetRegistry, unnumberedAnnouncementChangesNoNumberedTarget)
{
    auto target = makeTarget(80);
    target.name = "i-1";
    target.instance = 100;
    CHECK(registry.announce(target, 5s, 7).has_value());
    for (const char *name : {"i-1", "i-2", ""}) {
        auto forged = makeTarget(80);
        forged.name = name;
        CHECK(ErrorCode::Conflict == registry.announce(forged, 5s, 1000).error().code());
    }
    auto leaving = target;
    leaving.state = TargetState::Leaving;
    CHECK(registry.announce(leaving, 5s, 8).has_value());
    CHECK(last.front().state == TargetState::Leaving);
}

// Guards against a target whose announcements are ignored, because one without an instance number arrived before them.
TEST(TargetRegistry, numberedAnnouncementReplacesAnUnnumberedOne)
{
    auto forged = makeTarget(80);
    forged.name = "i-1";
    CHECK(registry.announce(forged, 5s, 1000).has_value());
    auto target = forged;
    forged.state = TargetState::Leaving;
    CHECK(registry.announce(forged, 5s, 1001).has_value());
    target.instance = 100;
    CHECK(registry.announce(target, 5s, 7).has_value());
    CHECK_EQUAL(100, last.front().instance);
    target.state = TargetState::Leaving;
    CHECK(registry.announce(target, 5s, 8).has_value());
    CHECK(last.front().state == TargetState::Leaving);
    target.name = "i-3";
    target.instance = 200;
    CHECK(registry.announce(target, 5s, 1).has_value());
}
