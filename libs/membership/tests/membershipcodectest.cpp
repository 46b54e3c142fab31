#include "membershipcodec.h"

#include <hornbeam/base/faketimerservice.h>
#include <hornbeam/membership/targetregistry.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

TEST_GROUP(MembershipCodec)
{
    Wire::Datagram datagram;

    void setup() override
    {
        datagram.set_sender_id("a");
        datagram.set_sender_address("127.0.0.1:1000");
        datagram.mutable_gossip();
    }

    bool accepted()
    {
        return decodeDatagram(datagram.SerializeAsString()).has_value();
    }
};

TEST(MembershipCodec, keepsAMemberWithATargetWithoutNameAndGateway)
{
    const Member member{.id = "a",
                        .zone = "turku",
                        .peerAddress = Endpoint("::1", 7000),
                        .incarnation = 9,
                        .state = MemberState::Suspect,
                        .configVersion = 4,
                        .storeWatcher = true,
                        .targets = {{.address = Endpoint("127.0.0.1", 80),
                                     .service = "rota",
                                     .zone = "helsinki",
                                     .labels = {{.name = "track", .value = "canary"}},
                                     .slots = 10,
                                     .state = TargetState::Leaving,
                                     .instance = 3,
                                     .version = "v2"}}};
    CHECK(member == fromWire(toWire(member)));
}

// Guards against a corrupt incarnation that is so high that all later updates of the member look old.
TEST(MembershipCodec, rejectsAnExcessiveIncarnation)
{
    auto &update = *datagram.add_updates();
    update = toWire(Member{.id = "b", .zone = "z", .peerAddress = Endpoint("127.0.0.1", 1), .incarnation = 1});
    CHECK(accepted());
    update.set_incarnation(maxIncarnation + 1);
    CHECK_FALSE(accepted());
}

TEST(MembershipCodec, rejectsMalformedDatagrams)
{
    CHECK(accepted());
    CHECK_FALSE(decodeDatagram("").has_value());
    CHECK_FALSE(decodeDatagram("\xff\xff\xff").has_value());
    CHECK_FALSE(decodeDatagram(std::string(maxDatagramBytes + 1, 'x')).has_value());
    datagram.mutable_bucket_digests()->add_buckets(1);
    CHECK_FALSE(accepted());
    datagram.mutable_gossip();
    datagram.set_sender_address("host:1000");
    CHECK_FALSE(accepted());
}

TEST(MembershipCodec, rejectsInvalidRumors)
{
    auto &rumor = *datagram.add_rumors();
    rumor.set_request_digest(std::string(32, 'd'));
    rumor.set_target("127.0.0.1:80");
    rumor.set_time_to_live_ms(1);
    CHECK(accepted());
    rumor.set_time_to_live_ms(0);
    CHECK_FALSE(accepted());
    rumor.set_time_to_live_ms(1);
    rumor.set_request_digest("short");
    CHECK_FALSE(accepted());
    datagram.clear_rumors();
    CHECK(accepted());
    datagram.add_refutations()->set_request_digest("short");
    CHECK_FALSE(accepted());
}

// Guards against one odd announcement, such as a name that is not UTF-8, that makes the other nodes drop all datagrams
// of its node: they must be able to decode whatever the node accepts.
TEST(MembershipCodec, decodesEachTargetThatANodeAccepts)
{
    const std::vector<std::string> odd = {
        "\xff", "\xc3(", std::string("a\0b", 3), "\xed\xa0\x80", "\n", std::string(128, 'x')};
    for (const auto &text : odd) {
        for (int field = 0; field < 4; ++field) {
            Target target{.address = Endpoint("127.0.0.1", 80), .service = "rota", .zone = "z", .name = "i-1"};
            std::string label;
            (field == 0 ? target.service : field == 1 ? target.zone : field == 2 ? target.name : label) = text;
            if (field == 3) {
                target.labels = {{.name = label, .value = label}};
            }
            FakeTimerService timers;
            TargetRegistry registry{timers, [](const std::vector<Target> &) {
                                    }};
            if (!registry.announce(target, std::chrono::seconds(5))) {
                continue;
            }
            datagram.clear_updates();
            *datagram.add_updates() = toWire(Member{.id = "b",
                                                    .zone = "z",
                                                    .peerAddress = Endpoint("127.0.0.1", 1),
                                                    .incarnation = 1,
                                                    .targets = registry.targets()});
            CHECK_TEXT(accepted(), text.c_str());
        }
    }
}
