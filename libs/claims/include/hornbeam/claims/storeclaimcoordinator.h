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
    std::string prefix = "/hornbeamring/claims/"; ///< Prefix of the keys of claims. Not empty.
    std::chrono::seconds retention = std::chrono::hours(24); ///< Claims are kept at least this long. At least 60 s.
    /** Longest wait for a claim, even before its deadline: a store outage must not delay requests. At least 1 ms. */
    Duration maxWait = std::chrono::seconds(1);
    std::size_t maxBatch = 64; ///< Claim writes in one transaction. 1..64.
    std::size_t maxQueued = 10000; ///< Queued writes from which new claims get NotRun at once. At least 1.
    std::size_t maxRecordedBytes = std::size_t{64} * 1024; ///< Limit for headers and body of a response. 0..262144.
    Duration settleTimeout = std::chrono::seconds(60); ///< How long writing an outcome or a release is retried.
    BackoffOptions backoff{.initial = std::chrono::milliseconds(20), .maximum = std::chrono::seconds(1)};
    /** Wall clock, used only to distinguish InProgress from Unknown. Tests replace it. */
    std::function<std::chrono::system_clock::time_point()> wallClock = &std::chrono::system_clock::now;
};

/** The referenced objects must outlive the coordinator. */
struct StoreClaimCoordinatorDependencies
{
    KeyValueStore &store; ///< Calls back on the control thread.
    Executor &executor; ///< Runs work on the control thread.
    TimerService &timers;
    MetricsRegistry &metrics;
};

/**
 * Keeps claims in the key-value store and writes them by compare-and-swap, many in one transaction.
 *
 * A claim is a key that an attempt creates with its random id in the value. The claim is granted only after the store
 * has confirmed that the key contains this id. If a response of the store is lost, the same write is repeated, and the
 * id shows whether the first one took effect. This does not depend on clocks: the key of a claim is deleted only when
 * its lease expires after the retention, and a released claim remains as a marker, which another attempt replaces by
 * comparing its revision. A delayed copy of a write therefore fails its comparison.
 *
 * A grant is delivered only before the deadline, according to the monotonic clock of this process. The record contains
 * the deadline as wall clock time. Another node compares it with its own wall clock only to choose between InProgress
 * and Unknown. Neither permits running the request, so clock skew changes only which rejection is reported.
 */
class StoreClaimCoordinator : public ClaimCoordinator
{
public:
    /** Fails with InvalidArgument if an option is out of range. */
    static Result<std::unique_ptr<StoreClaimCoordinator>> make(StoreClaimCoordinatorOptions options,
                                                               StoreClaimCoordinatorDependencies dependencies);

    /** Call it on the control thread, but not from a callback. Pending callbacks are dropped. */
    ~StoreClaimCoordinator() override;

    void claim(const Digest &identity, TimePoint deadline, std::function<void(ClaimDecision)> callback) override;

    /**
     * Claims for an attempt of another node, which chose the attempt id, so that it can release the claim if the grant
     * does not reach it. Each ticket may be claimed only once: a claim that is not granted in time is released by its
     * attempt id, which would also release the grant of another call with this id.
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
