#include <hornbeam/ratelimits/accountlimiter.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

namespace {

using namespace std::chrono_literals;

const AccountLimit limit{.name = "shop", .ratePerSecond = 10, .burst = 10};

} // namespace

TEST_GROUP(AccountLimiter)
{
    void setup() override
    {
        limiter.setLimits({limit}, now);
        limiter.startSession();
    }

    void answer(double share)
    {
        const auto reports = limiter.makeReports();
        LimitStatus status{.session = reports.back().session, .sequence = reports.back().sequence, .entries = {}};
        if (share < 1) {
            status.entries.push_back({.account = accountKey(limit.name), .share = share});
        }
        CHECK(limiter.applyStatus(status, true, now));
    }

    int admitted(int requests)
    {
        int count = 0;
        for (int i = 0; i < requests; ++i) {
            count += limiter.admit(limit.name, now).admitted ? 1 : 0;
        }
        return count;
    }

    TimePoint now = TimePoint() + 1h;
    AccountLimiter limiter{1};
};

TEST(AccountLimiter, admitsAccountsWithoutALimit)
{
    limiter.setLimits({limit, {.name = "unlimited", .ratePerSecond = 0, .burst = 0}}, now);
    for (int i = 0; i < 1000; ++i) {
        CHECK(limiter.admit("unlimited", now).admitted);
        CHECK(limiter.admit("unknown", now).admitted);
    }
}

TEST(AccountLimiter, isSilentWithoutLimits)
{
    limiter.setLimits({}, now);
    limiter.admit(limit.name, now);
    CHECK_FALSE(limiter.hasReport());
}

TEST(AccountLimiter, oneNodeAloneKeepsTheCompleteLimit)
{
    answer(1);
    now += 10s;
    CHECK_EQUAL(10, admitted(100));
    now += 1s;
    CHECK_EQUAL(10, admitted(100));
}

TEST(AccountLimiter, admitsTheShare)
{
    // A share that is drawn at random for each request would refuse many in a row.
    limiter.setLimits({{.name = limit.name, .ratePerSecond = 1000, .burst = 1000}}, now);
    now += 10s;
    answer(0.25);
    const int count = admitted(400);
    CHECK(count >= 100 && count <= 101);
}

TEST(AccountLimiter, givesATokenBackOnce)
{
    answer(1);
    now += 10s;
    CHECK_EQUAL(10, admitted(10));
    limiter.giveBack(limit.name, now);
    CHECK_EQUAL(1, admitted(5));
    const auto reports = limiter.makeReports();
    CHECK_EQUAL(1U, reports.back().entries.back().counts.returned);
    CHECK_EQUAL(11U, reports.back().entries.back().counts.admitted);
}

TEST(AccountLimiter, retryAfterNamesSuccessiveTokens)
{
    // Callers that were told the same time would return together and be refused again.
    answer(1);
    now += 10s;
    admitted(10);
    const auto first = limiter.admit(limit.name, now).retryAfter;
    CHECK(first >= 100ms && first <= 125ms);
    for (int i = 0; i < 8; ++i) {
        limiter.admit(limit.name, now);
    }
    const auto tenth = limiter.admit(limit.name, now).retryAfter;
    CHECK(tenth >= 1000ms && tenth <= 1250ms);
    for (int i = 0; i < 1000; ++i) {
        const auto later = limiter.admit(limit.name, now).retryAfter;
        CHECK(later <= 6250ms);
    }
}

TEST(AccountLimiter, countsAreCarriedToTheNextCoordinatorOnlyIfNotAcknowledged)
{
    now += 10s;
    answer(1);
    admitted(3);
    answer(1);
    admitted(2);
    limiter.makeReports();
    limiter.startSession();
    const auto reports = limiter.makeReports();
    CHECK_EQUAL(2U, reports.back().entries.back().counts.admitted);
}

TEST(AccountLimiter, lowerLimitAppliesAtOnce)
{
    answer(1);
    now += 10s;
    limiter.setLimits({{.name = limit.name, .ratePerSecond = 1, .burst = 2}}, now);
    CHECK_EQUAL(2, admitted(10));
}

TEST(AccountLimiter, higherLimitBringsNoTokens)
{
    answer(1);
    now += 10s;
    admitted(10);
    limiter.setLimits({{.name = limit.name, .ratePerSecond = 100, .burst = 100}}, now);
    CHECK_EQUAL(0, admitted(10));
}
