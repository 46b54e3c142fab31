#include "largeresponse.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(LinkPacer)
{
    TimePoint now{1h};
    LinkPacer pacer{{.megabitsPerSecond = 8}}; // 0.9 bytes per microsecond.
};

// Guards against small responses that wait in the queue of the link until a whole large response has been sent.
TEST(LinkPacer, sendsPiecesWhenTheLinkIsFree)
{
    CHECK(pacer.reserve(90000, now) == 0ms);
    const auto wait = pacer.reserve(9000, now);
    CHECK(wait > 85ms && wait < 95ms);
    now += 1s;
    CHECK(pacer.reserve(9000, now) == 0ms);
}

// Guards against a link that idles whenever a busy host delays the process.
TEST(LinkPacer, makesUpForTheDelaysOfTheProcess)
{
    pacer.reserve(9000, now);
    now += 60ms;
    // Each piece takes 10 ms, so five make up for the delay; two more may be sent ahead.
    for (int i = 0; i < 7; ++i) {
        CHECK(pacer.reserve(9000, now, true) == 0ms);
    }
    CHECK(pacer.reserve(9000, now, true) > 0ms);
    now += 10s;
    pacer.reserve(9000, now); // The link was idle without need for it, so there is nothing to make up for.
    CHECK(pacer.reserve(90000, now, true) == 0ms);
    CHECK(pacer.reserve(9000, now, true) > 95ms);
}

// Guards against an overloaded link because small responses are not accounted for.
TEST(LinkPacer, accountsForUnpacedBytes)
{
    pacer.addUnpaced(90000, now);
    CHECK(pacer.reserve(9000, now) > 85ms);
}

// Guards against placing requests for large responses at a host with a congested link while other links are idle.
TEST(LinkPacer, estimatesTheWaitOfALargeResponse)
{
    CHECK(pacer.largeResponseWait() == 0ms);
    for (int i = 0; i < 50; ++i) {
        pacer.largeResponseEnded(90000, pacer.largeResponseStarted(now));
    }
    const auto first = pacer.largeResponseStarted(now);
    pacer.largeResponseStarted(now);
    CHECK(pacer.largeResponseWait() > 190ms && pacer.largeResponseWait() < 210ms);
    CHECK(pacer.largeResponseTime() > 95ms && pacer.largeResponseTime() < 105ms);
    pacer.largeResponseEnded(0, first);
    CHECK(pacer.largeResponseWait() < 110ms);
}

// Guards against refusing requests because of large responses of which most has been sent.
TEST(LinkPacer, countsOnlyTheRemainingBytesOfALargeResponse)
{
    for (int i = 0; i < 50; ++i) {
        pacer.largeResponseEnded(90000, pacer.largeResponseStarted(now));
    }
    {
        LargeResponse response(pacer, now);
        response.sent(80000);
        CHECK(pacer.largeResponseWait() < 15ms);
        response.sent(80000);
        CHECK(pacer.largeResponseWait() == 0ms);
        response.complete(160000);
    }
    CHECK(pacer.largeResponseWait() == 0ms);
    CHECK(linkWaitAfter(100ms, 150ms) == 50ms);
    CHECK(linkWaitAfter(150ms, 100ms) == 0ms);
}

// Guards against refusing a request that ends early because of responses that send after its own.
TEST(LinkPacer, countsOnlyTheResponsesWithAnEarlierDeadline)
{
    for (int i = 0; i < 50; ++i) {
        pacer.largeResponseEnded(90000, pacer.largeResponseStarted(now));
    }
    const LargeResponse urgent(pacer, now + 1s);
    const LargeResponse other(pacer, now + 4s);
    CHECK(pacer.largeResponseWait(now + 500ms) == 0ms);
    CHECK(pacer.largeResponseWait(now + 2s) > 95ms && pacer.largeResponseWait(now + 2s) < 105ms);
    CHECK(pacer.largeResponseWait() > 190ms && pacer.largeResponseWait() < 210ms);
}

// Guards against a response that is cut off because more urgent ones were admitted after it.
TEST(LinkPacer, detectsThatAResponseWouldCutOffAnother)
{
    for (int i = 0; i < 50; ++i) {
        pacer.largeResponseEnded(90000, pacer.largeResponseStarted(now));
    }
    const LargeResponse first(pacer, now + 250ms);
    CHECK(!pacer.wouldCutOff(now + 200ms, now));
    const LargeResponse second(pacer, now + 200ms);
    CHECK(pacer.wouldCutOff(now + 200ms, now));
    CHECK(!pacer.wouldCutOff(now + 300ms, now));
    const LargeResponse third(pacer, now + 200ms);
    CHECK(!pacer.wouldCutOff(now + 200ms, now)); // The first one misses its deadline in any case.
}

// Guards against admitting large responses by an assumed or mean size although their targets have announced the size.
TEST(LinkPacer, countsTheAnnouncedSizeOfALargeResponse)
{
    LargeResponse first(pacer, now);
    first.announced(900000);
    CHECK(pacer.largeResponseWait() > 990ms && pacer.largeResponseWait() < 1010ms);
    first.sent(450000);
    CHECK(pacer.largeResponseWait() > 490ms && pacer.largeResponseWait() < 510ms);
    CHECK(pacer.largeResponseTime() > 990ms);
    LargeResponse second(pacer, now);
    CHECK(pacer.largeResponseWait() > 1490ms);
    second.announced(90000);
    CHECK(pacer.largeResponseWait() < 610ms);
}

// Guards against large responses that are admitted by their mean size while a larger one is in progress.
TEST(LinkPacer, knowsTheLongestTimeOfTheResponsesInProgress)
{
    pacer.largeResponseEnded(90000, pacer.largeResponseStarted(now));
    CHECK(pacer.longestLargeResponseTime() == pacer.largeResponseTime());
    {
        LargeResponse large(pacer, now);
        large.announced(900000);
        large.sent(850000);
        CHECK(pacer.longestLargeResponseTime() > 990ms && pacer.longestLargeResponseTime() < 1010ms);
    }
    CHECK(pacer.longestLargeResponseTime() == pacer.largeResponseTime());
}

// Guards against a target that makes its link look busy for hours by announcing a size that it does not send.
TEST(LinkPacer, limitsTheAnnouncedSize)
{
    LargeResponse response(pacer, now);
    response.announced(std::size_t{1} << 30);
    CHECK(pacer.largeResponseWait() < 20s);
}

// Guards against a node that runs out of memory because many callers read large responses slowly.
TEST(LinkPacer, limitsTheLargeResponsesInMemory)
{
    for (int i = 0; i < 50; ++i) {
        pacer.largeResponseEnded(1000000, pacer.largeResponseStarted(now));
    }
    std::vector<std::uint64_t> held;
    while (pacer.canBufferLargeResponse()) {
        held.push_back(pacer.largeResponseStarted(now));
    }
    CHECK(held.size() >= 16 && held.size() <= 18);
    pacer.largeResponseEnded(0, held.back());
    CHECK(pacer.canBufferLargeResponse());
}

TEST(LinkPacer, doesNotPaceFastLinks)
{
    LinkPacer fast({.megabitsPerSecond = 1000});
    fast.largeResponseStarted(now);
    fast.addUnpaced(1000000, now);
    CHECK(fast.reserve(1000000, now) == 0ms);
    CHECK(fast.largeResponseWait() == 0ms);
}
