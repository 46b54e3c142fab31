#include <hornbeam/ratelimits/limitmessage.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

namespace {

template <typename Message>
void checkRoundTrip(const Message &message)
{
    const auto decoded = decodeLimitMessage(encode(message));
    CHECK(decoded.has_value());
    CHECK(std::get<Message>(*decoded) == message);
}

} // namespace

TEST_GROUP(LimitMessage){};

TEST(LimitMessage, roundTrip)
{
    checkRoundTrip(LimitReport{
        .session = 3,
        .sequence = 70000,
        .entries = {{.account = accountKey("a"), .counts = {.asked = 300, .admitted = 200, .returned = 7}}}});
    checkRoundTrip(LimitStatus{.session = 3, .sequence = 4, .entries = {{.account = accountKey("a"), .share = 0.5}}});
    checkRoundTrip(LimitSync{.sequence = 9,
                             .active = true,
                             .complete = true,
                             .ageMilliseconds = 1234,
                             .zone = "north",
                             .entries = {{.account = accountKey("a"), .spent = 55, .demand = 12.5, .level = -40}}});
}

TEST(LimitMessage, fullMessagesFitInADatagram)
{
    // A larger message would be dropped by the transport, and the counts of its accounts would never arrive.
    constexpr std::size_t payloadBytes = 1000;
    LimitReport report{.session = UINT32_MAX, .sequence = UINT32_MAX, .entries = {}};
    LimitSync sync{.sequence = UINT32_MAX, .active = true, .zone = std::string(64, 'z'), .entries = {}};
    constexpr std::uint64_t large = 10000000;
    for (std::size_t i = 0; i < maxAccountsPerMessage; ++i) {
        report.entries.push_back(
            {.account = UINT64_MAX - i, .counts = {.asked = large, .admitted = large, .returned = large}});
        sync.entries.push_back({.account = UINT64_MAX - i, .spent = large, .demand = 1e5, .level = -100000});
    }
    CHECK(encode(report).size() <= payloadBytes);
    CHECK(encode(sync).size() <= payloadBytes);
}

TEST(LimitMessage, refusesMalformedMessages)
{
    CHECK_FALSE(decodeLimitMessage("").has_value());
    CHECK_FALSE(decodeLimitMessage("not a message").has_value());
    CHECK_FALSE(decodeLimitMessage(encode(LimitSync{.zone = "", .entries = {}})).has_value());
    CHECK_FALSE(decodeLimitMessage(encode(LimitSync{.zone = std::string(65, 'z'), .entries = {}})).has_value());
    const LimitReport corrupt{
        .session = 1, .sequence = 1, .entries = {{.account = 1, .counts = {.asked = 1ULL << 60}}}};
    CHECK_FALSE(decodeLimitMessage(encode(corrupt)).has_value());
    LimitReport many{.session = 1, .sequence = 1, .entries = {}};
    many.entries.resize(maxAccountsPerMessage + 1);
    CHECK_FALSE(decodeLimitMessage(encode(many)).has_value());
}
