#include "admissioncontroller.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** Takes one of a shared number of slots and records the order in which requests start. */
class FakeRequest : public QueuedRequest
{
public:
    FakeRequest(AdmissionRank rank, TimePoint deadline, int &freeSlots, std::vector<FakeRequest *> &started)
        : FakeRequest(rank, deadline, TimePoint::max(), freeSlots, started)
    {
    }

    FakeRequest(AdmissionRank rank,
                TimePoint deadline,
                TimePoint latestStart,
                int &freeSlots,
                std::vector<FakeRequest *> &started)
        : QueuedRequest(rank, deadline, latestStart)
        , m_freeSlots(freeSlots)
        , m_started(started)
    {
    }

    bool tryStart() override
    {
        if (m_freeSlots == 0) {
            return false;
        }
        --m_freeSlots;
        m_started.push_back(this);
        return true;
    }

    void rejected() override
    {
        ++rejections;
    }

    int rejections = 0;

private:
    int &m_freeSlots;
    std::vector<FakeRequest *> &m_started;
};

} // namespace

TEST_GROUP(AdmissionController)
{
    const TimePoint now{1h};
    int freeSlots = 1;
    std::vector<FakeRequest *> started;
    AdmissionController admission{3};

    std::shared_ptr<FakeRequest> request(Priority priority, Duration timeout = 1s)
    {
        return std::make_shared<FakeRequest>(priority, now + timeout, freeSlots, started);
    }

    std::shared_ptr<FakeRequest> queue(Priority priority, Duration timeout = 1s)
    {
        auto it = request(priority, timeout);
        CHECK(admission.admit(it, 1, now) == AdmissionController::Decision::Queued);
        return it;
    }
};

TEST(AdmissionController, startsWhileSlotsAreFree)
{
    CHECK(admission.admit(request(Priority::Low), 1, now) == AdmissionController::Decision::Started);
    CHECK(admission.admit(request(Priority::High), 1, now) == AdmissionController::Decision::Queued);
}

// Without ordering by priority, urgent requests would wait behind queued bulk work.
TEST(AdmissionController, startsHigherPrioritiesFirst)
{
    freeSlots = 0;
    const auto low = queue(Priority::Low);
    const auto normal = queue(Priority::Normal);
    const auto high = queue(Priority::High);
    freeSlots = 2;
    admission.slotsChanged(now);
    CHECK_EQUAL(2, started.size());
    CHECK(started[0] == high.get());
    CHECK(started[1] == normal.get());
    CHECK_EQUAL(1, admission.queued());
}

// A new request must not take a free slot while a request of the same priority is queued.
TEST(AdmissionController, keepsTheOrderWithinAPriority)
{
    freeSlots = 0;
    const auto first = queue(Priority::Normal);
    freeSlots = 1;
    CHECK(admission.admit(request(Priority::Normal), 1, now) == AdmissionController::Decision::Queued);
    admission.slotsChanged(now);
    CHECK(started.front() == first.get());
}

// The queue must not grow without bound, and queued bulk work must not cause the refusal of urgent requests.
TEST(AdmissionController, evictsWorseRanksWhenTheQueueIsFull)
{
    freeSlots = 0;
    queue(Priority::Low);
    queue(Priority::Normal);
    const auto newest = queue(Priority::Low);
    CHECK(admission.admit(request(Priority::Low), 1, now) == AdmissionController::Decision::QueueFull);
    CHECK(admission.admit(request(Priority::High), 1, now) == AdmissionController::Decision::Queued);
    CHECK_EQUAL(1, newest->rejections);
    CHECK_EQUAL(3, admission.queued());
}

// A request that cannot finish before its deadline must not be queued; its caller can retry elsewhere after an early
// refusal.
TEST(AdmissionController, refusesRequestsThatWouldMissTheirDeadline)
{
    admission.recordDuration(400ms);
    freeSlots = 0;
    CHECK(admission.admit(request(Priority::Normal, 700ms), 1, now) == AdmissionController::Decision::TooLate);
    queue(Priority::Normal, 900ms);
    CHECK(admission.admit(request(Priority::Normal, 900ms), 1, now) == AdmissionController::Decision::TooLate);
    // Requests of lower priority do not count towards the wait.
    queue(Priority::High, 900ms);
}

TEST(AdmissionController, rejectsExpiredRequests)
{
    freeSlots = 0;
    const auto expired = queue(Priority::Normal, 100ms);
    const auto alive = queue(Priority::Normal, 1s);
    freeSlots = 1;
    admission.slotsChanged(now + 200ms);
    CHECK_EQUAL(1, expired->rejections);
    CHECK(started.front() == alive.get());
}

TEST(AdmissionController, doesNotStartRemovedRequests)
{
    freeSlots = 0;
    admission.remove(queue(Priority::Normal));
    freeSlots = 1;
    admission.slotsChanged(now);
    CHECK_EQUAL(0, started.size());
}

// If nested calls waited behind new requests, they would time out and the work of the running requests that make them
// would be lost.
TEST(AdmissionController, startsNestedCallsFirstAndLateRequestsLast)
{
    CHECK(AdmissionRank::nested() < AdmissionRank(Priority::High));
    CHECK(AdmissionRank(Priority::High) < AdmissionRank(Priority::High).late());
    CHECK(AdmissionRank(Priority::Low) < AdmissionRank(Priority::Low).late());
    CHECK(AdmissionRank::fromValue(99) == AdmissionRank(Priority::Low).late());
    freeSlots = 0;
    const auto queued = [&](AdmissionRank rank) {
        const auto it = std::make_shared<FakeRequest>(rank, now + 1s, freeSlots, started);
        admission.admit(it, 1, now);
        return it;
    };
    const auto late = queued(AdmissionRank(Priority::Low).late());
    const auto high = queued(Priority::High);
    const auto nested = queued(AdmissionRank::nested());
    CHECK_EQUAL(1, admission.queuedAhead(AdmissionRank::nested()));
    CHECK_EQUAL(2, admission.queuedAhead(Priority::High));
    freeSlots = 3;
    admission.slotsChanged(now);
    CHECK((started == std::vector<FakeRequest *>{nested.get(), high.get(), late.get()}));
}

// A relayed request may wait at most as long as the sending node allows. If it is expected to start later, it must be
// refused immediately, so that the sending node can try another target.
TEST(AdmissionController, refusesRequestsThatWouldMissTheirLatestStart)
{
    admission.recordDuration(400ms);
    freeSlots = 0;
    const auto patient = std::make_shared<FakeRequest>(Priority::Normal, now + 10s, now + 500ms, freeSlots, started);
    CHECK(admission.admit(patient, 1, now) == AdmissionController::Decision::Queued);
    const auto hasty = std::make_shared<FakeRequest>(Priority::Normal, now + 10s, now + 500ms, freeSlots, started);
    CHECK(admission.admit(hasty, 1, now) == AdmissionController::Decision::TooLate);
    admission.slotsChanged(now + 501ms);
    CHECK_EQUAL(1, patient->rejections);
}

// Guards against accounts whose priority makes their urgent and their bulk requests equal.
TEST(AdmissionController, startsByAccountFirstThenByRoute)
{
    AdmissionController wide(10);
    freeSlots = 0;
    std::vector<std::shared_ptr<FakeRequest>> requests;
    const auto ask = [&](AdmissionRank rank) {
        requests.push_back(std::make_shared<FakeRequest>(rank, now + 1s, freeSlots, started));
        wide.admit(requests.back(), 1, now);
        return requests.back().get();
    };
    const AdmissionRank low = Priority::Low;
    const AdmissionRank high = Priority::High;
    auto *const withoutAccount = ask(high);
    auto *const lowAccount = ask(high.forAccount(Priority::Low));
    auto *const bulk = ask(low.forAccount(Priority::Normal));
    auto *const urgent = ask(high.forAccount(Priority::Normal));
    auto *const highAccount = ask(low.forAccount(Priority::High));
    auto *const nested = ask(AdmissionRank::nested().forAccount(Priority::Low));
    LONGS_EQUAL(3, wide.queuedByRank()[high.value()]);
    freeSlots = 6;
    wide.slotsChanged(now);
    CHECK((started == std::vector<FakeRequest *>{nested, highAccount, withoutAccount, urgent, bulk, lowAccount}));
}
