#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/base/error.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/store/keyvaluestore.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Hornbeam {

/** Told when this candidate takes or gives up a role. Called on the control thread. */
class LeaseElectionListener
{
public:
    virtual ~LeaseElectionListener() = default;

    virtual void acquired(std::uint32_t slot) = 0;
    virtual void lost() = 0;
};

struct LeaseElectionOptions
{
    std::string prefix; ///< The slots are the keys <prefix><number>. Not empty.
    std::uint32_t slots = 1; ///< Number of roles. 1..1000.
    std::string candidate; ///< Shown as the value of a held slot, for people. Not empty.
    std::chrono::seconds timeToLive{5}; ///< Of the lease; at least 2 s.
    Duration margin = std::chrono::milliseconds(500); ///< A role ends this long before its lease can. Under a half.
    /** Delays after a failed store call. The maximum should let several renewals fit into the time to live. */
    BackoffOptions backoff{.initial = std::chrono::milliseconds(100), .maximum = std::chrono::seconds(2)};
    /** Delays between two looks at the slots while all of them are taken; each look is one read of the store. */
    BackoffOptions occupiedBackoff{.initial = std::chrono::seconds(2), .maximum = std::chrono::seconds(10)};
};

/**
 * Holds one of N slots under a key prefix by compare-and-swap with a lease.
 * The role's end is computed from this process's monotonic clock at the moment before each renewal was sent, so it
 * comes before the store can hand the slot to another candidate, also when this process was paused. Clocks of
 * different machines are never compared; only their rates must agree within the margin. Control thread only.
 */
class LeaseElection
{
public:
    /** InvalidArgument for options out of range. The references outlive the election. */
    static Result<std::unique_ptr<LeaseElection>> make(LeaseElectionOptions options,
                                                       KeyValueStore &store,
                                                       TimerService &timers,
                                                       LeaseElectionListener &listener);

    /** Leaves a held slot to its lease; stop() frees it at once. */
    ~LeaseElection();

    /** Becomes a candidate until stop(); does nothing when it already is one. */
    void start();

    /** Gives up a held role, calls lost() for it and frees the slot as best effort. */
    void stop();

    /** Whether the role is held at this moment; also correct before the timers of a resumed process have run. */
    bool isHolder() const;

    /** The slot of the held role. */
    std::optional<std::uint32_t> slot() const;

private:
    LeaseElection(LeaseElectionOptions options,
                  KeyValueStore &store,
                  TimerService &timers,
                  LeaseElectionListener &listener);

    template <typename T>
    KeyValueStore::Callback<T> guarded(void (LeaseElection::*step)(Result<T>));

    void look();
    void looked(Result<RangeResult> result);
    void granted(Result<LeaseGrant> result);
    void write();
    void written(Result<TransactionResult> result);
    void renew();
    void renewed(Result<LeaseGrant> result);
    void becomeHolder();
    void armExpiry();
    void expire();
    void abandon();
    void retry(Backoff &backoff, void (LeaseElection::*step)());
    std::string slotKey() const;
    TimePoint validUntil(TimePoint sent) const;

    LeaseElectionOptions m_options;
    KeyValueStore &m_store;
    TimerService &m_timers;
    LeaseElectionListener &m_listener;
    Backoff m_backoff;
    Backoff m_occupiedBackoff;
    std::mt19937_64 m_random;
    std::shared_ptr<std::uint64_t> m_round; ///< Answers to calls of an earlier round are ignored.
    std::uint32_t m_slot = 0;
    std::string m_attempt; ///< Value of the slot's key; recognises our own write after a lost answer.
    LeaseId m_lease = 0;
    TimePoint m_sent; ///< When the running grant or renewal was sent.
    TimePoint m_validUntil;
    bool m_candidate = false;
    bool m_holder = false;
    TimerHandle m_step; ///< The next retry or renewal.
    TimerHandle m_expiry;
};

} // namespace Hornbeam
