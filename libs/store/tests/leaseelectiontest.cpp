#include <hornbeam/base/faketimerservice.h>
#include <hornbeam/store/inmemorystore.h>
#include <hornbeam/store/leaseelection.h>
#include <hornbeam/store/manualexecutor.h>
#include <hornbeam/store/pausabletimerservice.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 11; ///< Seed of the first candidate's backoff; incremented for each further one.
constexpr auto step = 20ms;

/** One candidate with its own executor, timers and store handle: it can be paused and disconnected on its own. */
class Candidate : public LeaseElectionListener
{
public:
    Candidate(TimerService &time, const InMemoryStore &shared, std::uint32_t slots, std::uint64_t number)
        : timers(time)
        , store(executor, shared)
        , election(std::move(*LeaseElection::make({.prefix = "/watchers/turku/",
                                                   .slots = slots,
                                                   .candidate = "node-" + std::to_string(number),
                                                   .backoff = {.initial = 100ms, .maximum = 1s, .seed = seed + number},
                                                   .occupiedBackoff = {.initial = 1s, .maximum = 2s, .seed = 1}},
                                                  store,
                                                  timers,
                                                  *this)))
    {
        election->start();
    }

    void acquired(std::uint32_t) override
    {
        ++acquisitions;
    }

    void lost() override
    {
        ++losses;
    }

    void pause()
    {
        paused = true;
        timers.pause();
    }

    void resume()
    {
        paused = false;
        timers.resume();
    }

    ManualExecutor executor;
    PausableTimerService timers;
    InMemoryStore store;
    std::unique_ptr<LeaseElection> election;
    int acquisitions = 0;
    int losses = 0;
    bool paused = false;
};

} // namespace

TEST_GROUP(LeaseElection)
{
    FakeTimerService time;
    ManualExecutor idle;
    InMemoryStore shared{idle, time};
    std::vector<std::unique_ptr<Candidate>> candidates;
    std::uint32_t slots = 1;

    void add(int count)
    {
        for (int i = 0; i < count; ++i) {
            candidates.push_back(std::make_unique<Candidate>(time, shared, slots, candidates.size()));
        }
    }

    /** Lets time pass and checks after each step that no two candidates hold the same slot. */
    void pass(Duration duration)
    {
        for (Duration passed{0}; passed < duration; passed += step) {
            time.advance(step);
            for (const auto &candidate : candidates) {
                if (!candidate->paused) {
                    candidate->executor.run();
                }
            }
            checkSlots();
        }
    }

    void checkSlots()
    {
        std::set<std::uint32_t> held;
        for (const auto &candidate : candidates) {
            if (const auto slot = candidate->election->slot()) {
                CHECK(held.insert(*slot).second);
            }
        }
    }

    std::size_t holders() const
    {
        return static_cast<std::size_t>(std::count_if(
            candidates.begin(), candidates.end(), [](const auto &it) { return it->election->isHolder(); }));
    }
};

// Guards against two holders of one slot, and against slots that stay free although there are candidates.
TEST(LeaseElection, hasOneHolderPerSlot)
{
    slots = 3;
    add(10);
    pass(30s);
    CHECK_EQUAL(3, holders());
}

// Guards against a paused process that still counts as the holder when another candidate has acquired its slot.
TEST(LeaseElection, aPausedHolderLosesItsSlotBeforeAnotherAcquiresIt)
{
    add(2);
    pass(3s);
    auto &holder = *(candidates.at(0)->election->isHolder() ? candidates.at(0) : candidates.at(1));
    auto &other = *(candidates.at(0)->election->isHolder() ? candidates.at(1) : candidates.at(0));
    holder.pause();
    pass(10s);
    CHECK(other.election->isHolder());
    CHECK_FALSE(holder.election->isHolder());
    holder.resume();
    CHECK_EQUAL(1, holder.losses);
    pass(10s);
    CHECK_EQUAL(1, holders());
}

// Guards against a holder that keeps its slot beyond the lease while the store is unavailable, and against candidates
// that stop trying during the outage.
TEST(LeaseElection, losesItsSlotWhileTheStoreIsDownAndAcquiresItAgain)
{
    add(1);
    pass(1s);
    CHECK_EQUAL(1, holders());
    candidates.at(0)->store.setFaults({.unavailable = true});
    pass(4500ms);
    CHECK_EQUAL(0, holders());
    CHECK_EQUAL(1, candidates.at(0)->losses);
    pass(60s);
    candidates.at(0)->store.setFaults({});
    pass(10s);
    CHECK_EQUAL(1, holders());
    CHECK_EQUAL(2, candidates.at(0)->acquisitions);
}

// Guards against a holder that loses its slot again and again because the first renewal comes too late.
TEST(LeaseElection, keepsItsSlotWhileTheStoreIsSlow)
{
    add(1);
    candidates.at(0)->store.setFaults({.answerDelay = 1200ms});
    pass(30s);
    CHECK_EQUAL(1, candidates.at(0)->acquisitions);
    CHECK_EQUAL(0, candidates.at(0)->losses);
}

// Guards against a candidate that takes the slot to be held by another one after the response to its own write was
// lost, and waits until its own lease has expired.
TEST(LeaseElection, recognisesItsWriteAfterALostResponse)
{
    add(1);
    candidates.at(0)->store.setFaults({.loseAnswersPrefix = "/watchers/"});
    pass(100ms);
    candidates.at(0)->store.setFaults({});
    CHECK_EQUAL(0, holders());
    pass(1s);
    CHECK_EQUAL(1, holders());
    CHECK_EQUAL(1, candidates.at(0)->acquisitions);
    // The first write is the only change of the store, whose revision starts at 1.
    CHECK_EQUAL(2, shared.revision());
}

// Guards against a second start() that begins another round and gives up the lease of the first one.
TEST(LeaseElection, ignoresASecondStart)
{
    slots = 2;
    add(1);
    candidates.at(0)->election->start();
    pass(1s);
    candidates.at(0)->election->start();
    pass(30s);
    CHECK_EQUAL(1, candidates.at(0)->acquisitions);
    CHECK_EQUAL(0, candidates.at(0)->losses);
    CHECK_EQUAL(1, candidates.at(0)->store.calls().reads);
}

TEST(LeaseElection, freesItsSlotWhenStopped)
{
    add(2);
    pass(3s);
    auto &holder = *(candidates.at(0)->election->isHolder() ? candidates.at(0) : candidates.at(1));
    holder.election->stop();
    CHECK_EQUAL(1, holder.losses);
    pass(3s);
    CHECK_FALSE(holder.election->isHolder());
    CHECK_EQUAL(1, holders());
}

TEST(LeaseElection, refusesOptionsOutOfRange)
{
    add(1);
    auto &listener = *candidates.at(0);
    CHECK_FALSE(LeaseElection::make({.prefix = "", .candidate = "a"}, shared, time, listener).has_value());
    CHECK_FALSE(LeaseElection::make({.prefix = "/", .slots = 0, .candidate = "a"}, shared, time, listener).has_value());
}
