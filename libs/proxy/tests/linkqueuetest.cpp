#include "linkqueue.h"

#include <algorithm>
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
        const LinkQueue::Ticket ticket{.deadline = now + left, .response = queue.nextResponse()};
        enter(ticket, name);
        return ticket;
    }

    void enter(const LinkQueue::Ticket &ticket, char name)
    {
        queue.enter(ticket, [this, name] { granted += name; });
    }

    /** Sends five responses of 20 pieces with deadlines @p apart; returns after how many pieces each of them ended. */
    std::vector<int> sendResponses(Duration apart)
    {
        constexpr int responses = 5;
        constexpr int pieces = 20;
        std::vector<int> sent(responses, 0);
        std::vector<int> endedAfter;
        std::vector<LinkQueue::Ticket> tickets;
        for (int i = 0; i < responses; ++i) {
            tickets.push_back(enter(5s + i * apart, static_cast<char>('a' + i)));
        }
        for (int n = 1; n <= responses * pieces; ++n) {
            const auto it = std::find_if(
                tickets.begin(), tickets.end(), [this](const auto &ticket) { return queue.isGranted(ticket); });
            CHECK(it != tickets.end());
            const auto i = static_cast<std::size_t>(it - tickets.begin());
            queue.leave(*it);
            if (++sent[i] == pieces) {
                endedAfter.push_back(n);
            } else {
                enter(*it, static_cast<char>('a' + i));
            }
        }
        return endedAfter;
    }

    /** While a response writes a piece, the link is granted to the next one, so each may be delayed by one other. */
    static void checkOrder(const std::vector<int> &endedAfter)
    {
        CHECK_EQUAL(5, endedAfter.size());
        for (int i = 0; i < 5; ++i) {
            CHECK_COMPARE(endedAfter[static_cast<std::size_t>(i)], <=, (i + 2) * 20);
        }
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

// Guards against a response that keeps its place behind others after its deadline was moved forward.
TEST(LinkQueue, movesAPieceWhoseDeadlineChanges)
{
    auto first = enter(5s, 'a');
    enter(1s, 'b');
    const auto late = enter(3s, 'c');
    const LinkQueue::Ticket urgent{.deadline = now, .response = late.response};
    queue.change(late, urgent);
    const LinkQueue::Ticket earlier{.deadline = now + 4s, .response = first.response};
    queue.change(first, earlier);
    CHECK(queue.isGranted(earlier));
    queue.leave(earlier);
    CHECK(queue.isGranted(urgent));
    queue.leave(urgent);
    STRCMP_EQUAL("cb", granted.c_str());
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
    checkOrder(sendResponses(10ms));
}

// The same for responses with the same deadline, which is that of all that arrive during a stop.
TEST(LinkQueue, endsResponsesWithTheSameDeadlineOneAfterTheOther)
{
    checkOrder(sendResponses(0ms));
}
