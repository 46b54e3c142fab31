#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/claims/claimcoordinator.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Hornbeam {

class Executor;
class KeyValueStore;
class MetricsRegistry;

struct StoreClaimCoordinatorOptions
{
    std::string prefix = "/hornbeamring/claims/"; ///< Of the claims' keys. Not empty.
    std::chrono::seconds retention = std::chrono::hours(24); ///< Claims are kept at least this long; 60 s or more.
    /** Longest wait for a claim, within its deadline, so that a store outage does not hold requests. 1 ms or more. */
    Duration maxWait = std::chrono::seconds(1);
    std::size_t maxBatch = 64; ///< Claims in one transaction. 1..64.
    std::size_t maxQueued = 10000; ///< Further claims are answered NotRun at once. 1 or more.
    std::size_t maxRecordedBytes = std::size_t{64} * 1024; ///< Headers and body of a recorded response. 0..262144.
    Duration settleTime = std::chrono::seconds(60); ///< How long an outcome or a release is tried to be written.
    BackoffOptions backoff{.initial = std::chrono::milliseconds(20), .maximum = std::chrono::seconds(1)};
    /** Wall clock; only tells InProgress from Unknown. Replaced by tests. */
    std::function<std::chrono::system_clock::time_point()> wallClock = &std::chrono::system_clock::now;
};

/** The referenced objects outlive the coordinator. */
struct StoreClaimCoordinatorDependencies
{
    KeyValueStore &store; ///< Calls back on the control thread.
    Executor &executor; ///< Runs work on the control thread.
    TimerService &timers;
    MetricsRegistry &metrics;
};

/**
 * Claims in the store by compare-and-swap, many in one transaction.
 *
 * A claim is a key that an attempt creates with its random id. It is granted only after the store showed that the key
 * carries this id; after a lost answer the same write is repeated, and the id shows whether the first copy took
 * effect. No clock takes part in this: the key of a claim is never deleted but by its lease after the retention, and a
 * released claim stays as a marker that another attempt replaces by its revision. Late copies of a write therefore
 * fail their comparison.
 *
 * Clocks: a grant is delivered only before the deadline, by this process's monotonic clock. The record carries the
 * deadline as wall clock time. Another node compares it with its own wall clock only to report InProgress or Unknown;
 * neither of them permits to run the request, so clock differences change the wording of a rejection and nothing else.
 */
class StoreClaimCoordinator : public ClaimCoordinator
{
public:
    /** InvalidArgument for options out of range. */
    static Result<std::unique_ptr<StoreClaimCoordinator>> make(StoreClaimCoordinatorOptions options,
                                                               StoreClaimCoordinatorDependencies dependencies);

    /** On the control thread, not from a callback. Callbacks that have not run are dropped. */
    ~StoreClaimCoordinator() override;

    void claim(const Digest &identity, TimePoint deadline, std::function<void(ClaimDecision)> callback) override;

    /**
     * Claims for an attempt of another node, whose id the caller chose, so that it can release the claim when the
     * grant does not reach it. A ticket is claimed once: a claim that is not granted in time is freed by its attempt
     * id, which would free the grant of another call with the same id.
     */
    void claimAs(const ClaimTicket &ticket, TimePoint deadline, std::function<void(ClaimDecision)> callback);

    void complete(const ClaimTicket &ticket, RecordedResponse response) override;
    void release(const ClaimTicket &ticket) override;
    void markUnknown(const ClaimTicket &ticket) override;

private:
    class Impl;
    explicit StoreClaimCoordinator(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> m_impl;
};

} // namespace Hornbeam
