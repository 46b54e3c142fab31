#include "linkqueue.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(LinkQueue)
{
    const TimePoint now{1h};
    LinkQueue queue;
    std::string granted; ///< The names of the pieces to which the link was granted, in this order.

    LinkQueue::Ticket enter(Duration left, char name)
    {
        return queue.enter(now + left, [this, name] { granted += name; });
    }
};

// Guards against a response with little time left that waits for those with more.
TEST(LinkQueue, grantsTheLinkToTheEarliestDeadline)
{
    const auto first = enter(5s, 'a');
    CHECK(queue.isGranted(first));
    const auto later = enter(4s, 'b');
    const auto urgent = enter(1s, 'c');
    const auto same = enter(4s, 'd');
    CHECK(!queue.isGranted(urgent));
    for (const auto &ticket : {first, urgent, later, same}) {
        CHECK(queue.isGranted(ticket));
        queue.leave(ticket);
    }
    STRCMP_EQUAL("cbd", granted.c_str());
    CHECK(queue.isGranted(enter(9s, 'e')));
}

// Guards against a link that stays granted to a response that has ended, or is granted to one that gave up.
TEST(LinkQueue, skipsAPieceThatHasLeft)
{
    const auto first = enter(5s, 'a');
    const auto gone = enter(1s, 'b');
    const auto next = enter(3s, 'c');
    queue.leave(gone);
    CHECK(queue.isGranted(first));
    queue.leave(first);
    CHECK(queue.isGranted(next));
    STRCMP_EQUAL("c", granted.c_str());
}

// Guards against responses that share a link evenly, so that all of them end at the same late time.
TEST(LinkQueue, endsResponsesOneAfterTheOther)
{
    constexpr int responses = 5;
    constexpr int pieces = 20;
    constexpr int allPieces = responses * pieces;
    std::vector<int> sent(responses, 0);
    std::vector<int> endedAfter;
    std::vector<LinkQueue::Ticket> tickets;
    for (int i = 0; i < responses; ++i) {
        tickets.push_back(enter(5s + i * 10ms, static_cast<char>('a' + i)));
    }
    for (int n = 1; n <= allPieces; ++n) {
        for (int i = 0; i < responses; ++i) {
            const auto turn = static_cast<std::size_t>(i);
            if (sent[turn] == pieces || !queue.isGranted(tickets[turn])) {
                continue;
            }
            if (++sent[turn] == pieces) {
                endedAfter.push_back(n);
                queue.leave(tickets[turn]);
            } else {
                const auto ended = tickets[turn];
                tickets[turn] = enter(5s + i * 10ms, static_cast<char>('a' + i));
                queue.leave(ended);
            }
            break;
        }
    }
    CHECK_EQUAL(responses, endedAfter.size());
    for (int i = 0; i < responses; ++i) {
        CHECK_EQUAL((i + 1) * pieces, endedAfter[static_cast<std::size_t>(i)]);
    }
}
