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

/** Notified when this candidate acquires or loses a slot. Called on the control thread. */
class LeaseElectionListener
{
public:
    virtual ~LeaseElectionListener() = default;

    virtual void acquired(std::uint32_t slot) = 0;
    virtual void lost() = 0;
};

struct LeaseElectionOptions
{
    std::string prefix; ///< The slots are the keys <prefix>0, <prefix>1 and so on. Not empty.
    std::uint32_t slots = 1; ///< Number of slots. 1..1000.
    std::string candidate; ///< Name of this candidate, which operators see in the value of its slot. Not empty.
    std::chrono::seconds timeToLive{5}; ///< Time to live of the lease; at least 2 s.
    /** A slot counts as lost this long before its lease can expire. Less than half of the time to live. */
    Duration margin = std::chrono::milliseconds(500);
    /** Delays after a failed store call. The maximum should allow several renewals within the time to live. */
    BackoffOptions backoff{.initial = std::chrono::milliseconds(100), .maximum = std::chrono::seconds(2)};
    /** Delays between reads of the slots while all of them are taken; each read is one store call. */
    BackoffOptions occupiedBackoff{.initial = std::chrono::seconds(2), .maximum = std::chrono::seconds(10)};
};

/**
 * Acquires and holds one of N slots under a key prefix, by compare-and-swap with a lease.
 * The holder computes when its slot ends from its own monotonic clock, read before it sends each grant or renewal. The
 * slot therefore ends before the store can give it to another candidate, even when this process was paused. Clocks of
 * different machines are never compared; only their rates must agree within the margin. Control thread only.
 */
class LeaseElection
{
public:
    /** InvalidArgument for options out of range. The referenced objects must outlive the election. */
    static Result<std::unique_ptr<LeaseElection>> make(LeaseElectionOptions options,
                                                       KeyValueStore &store,
                                                       TimerService &timers,
                                                       LeaseElectionListener &listener);

    /** Does not free a held slot, which stays taken until its lease expires; stop() frees it immediately. */
    ~LeaseElection();

    /** Becomes a candidate until stop(); does nothing when it already is one. */
    void start();

    /** Ends the candidacy. Calls lost() if a slot is held, and frees the slot if the store can be reached. */
    void stop();

    /** Whether a slot is held at this moment. Also correct after a pause, before the overdue timers have run. */
    bool isHolder() const;

    /** The number of the slot that is held, if any. */
    std::optional<std::uint32_t> slot() const;

private:
    LeaseElection(LeaseElectionOptions options,
                  KeyValueStore &store,
                  TimerService &timers,
                  LeaseElectionListener &listener);

    template <typename T>
    KeyValueStore::Callback<T> forCurrentRound(void (LeaseElection::*step)(Result<T>));

    void readSlots();
    void slotsRead(Result<RangeResult> result);
    void leaseGranted(Result<LeaseGrant> result);
    void writeSlot();
    void slotWritten(Result<TransactionResult> result);
    void renewLease();
    void leaseRenewed(Result<LeaseGrant> result);
    void becomeHolder();
    void scheduleRenewal();
    void armExpiry();
    void expire();
    void endRound();
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
    /** Counts rounds: a failed attempt or the loss of a slot ends one. Responses from an earlier round are ignored. */
    std::shared_ptr<std::uint64_t> m_round;
    std::uint32_t m_slot = 0;
    std::string m_slotValue; ///< Unique value for the slot's key; identifies our own write after a lost response.
    LeaseId m_lease = 0;
    TimePoint m_leaseRequestTime; ///< When the last grant or renewal was sent.
    TimePoint m_validUntil; ///< The slot that is held, or being written, ends at this time unless the lease is renewed.
    bool m_running = false; ///< Between start() and stop().
    bool m_holder = false;
    TimerHandle m_nextStep; ///< The next retry or renewal.
    TimerHandle m_expiry;
};

} // namespace Hornbeam
