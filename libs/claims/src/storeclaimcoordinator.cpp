#include "claimbatcher.h"
#include "claimrecord.h"

#include <hornbeam/base/executor.h>
#include <hornbeam/base/metrics.h>
#include <hornbeam/base/randomid.h>
#include <hornbeam/claims/storeclaimcoordinator.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace Hornbeam {

namespace {

constexpr std::size_t maxBatchSize = 64; ///< Half of the 128 operations that etcd accepts in one transaction.
constexpr std::size_t maxBatchBytes =
    std::size_t{512} * 1024; ///< Well below the request limit of etcd, 1.5 MB, even in base64.
constexpr std::size_t maxRecordableBytes = std::size_t{256} * 1024;
constexpr std::chrono::seconds shortestRetention(60);

/** How long after the deadline the revision of a granted claim is kept if the proxy reports no outcome. */
constexpr std::chrono::minutes grantRetention(10);
constexpr std::chrono::minutes grantCleanupPeriod(1);

constexpr std::array<const char *, 5> outcomeNames = {"granted", "completed", "in_progress", "unknown", "not_run"};

std::size_t recordedBytes(const RecordedResponse &response)
{
    std::size_t bytes = response.body.size();
    for (const auto &header : response.headers) {
        bytes += header.name.size() + header.value.size();
    }
    return bytes;
}

std::int64_t milliseconds(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

/** State of a call of claimAs(), kept until its decision is delivered and its last write has a result. */
struct Attempt
{
    ClaimTicket ticket;
    TimePoint deadline;
    TimePoint grantDeadline; ///< No grant from this time on: the deadline or the end of maxWait, whichever is earlier.
    std::int64_t deadlineMs = 0;
    std::function<void(ClaimDecision)> callback; ///< Empty after the decision has been delivered.
    std::int64_t expectedRevision = 0; ///< Revision of the released claim to take over; 0 to create the key.
    bool mayHaveWritten = false; ///< A write was sent and it is unknown whether it took effect.
    std::uint64_t writeId = 0; ///< Id of the last write.
    TimerHandle timer;
};

using AttemptPtr = std::shared_ptr<Attempt>;

struct GrantedClaim
{
    std::int64_t revision = 0;
    TimePoint deadline;
};

} // namespace

class StoreClaimCoordinator::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(StoreClaimCoordinatorOptions options, StoreClaimCoordinatorDependencies dependencies);

    void post(std::function<void(Impl &)> work);
    void begin(const AttemptPtr &attempt);
    void settleTicket(const ClaimTicket &ticket, ClaimState state, RecordedResponse response);

private:
    /** Write of the final record of an attempt. */
    struct Settlement
    {
        ClaimTicket ticket;
        std::string value;
        std::int64_t expectedRevision = 0;
        TimePoint expiresAt;
    };

    void send(const AttemptPtr &attempt);
    void handleWriteResult(const AttemptPtr &attempt, const Result<ClaimWriteOutcome> &result);
    void handleExistingEntry(const AttemptPtr &attempt, const std::optional<KeyValue> &current);
    void handleOwnClaim(const AttemptPtr &attempt, std::int64_t revision);
    void handleTimeout(const AttemptPtr &attempt);
    void deliver(const AttemptPtr &attempt, ClaimDecision decision);
    void reject(const AttemptPtr &attempt, ClaimOutcome outcome, const char *reason);
    void releaseUngranted(const Attempt &attempt, std::int64_t expectedRevision);
    void settle(const std::shared_ptr<Settlement> &settlement);
    void handleSettleResult(const std::shared_ptr<Settlement> &settlement, const Result<ClaimWriteOutcome> &result);
    void removeOldGrants();
    std::string keyOf(const Digest &identity) const;

    StoreClaimCoordinatorOptions m_options;
    Executor &m_executor;
    TimerService &m_timers;
    ClaimBatcher m_batcher;
    std::vector<Counter *> m_outcomes;
    Counter &m_freed;
    Counter &m_unsettled;
    std::map<std::string, GrantedClaim> m_granted; ///< By attempt id.
    TimerHandle m_grantCleanupTimer;
};

StoreClaimCoordinator::Impl::Impl(StoreClaimCoordinatorOptions options, StoreClaimCoordinatorDependencies dependencies)
    : m_options(std::move(options))
    , m_executor(dependencies.executor)
    , m_timers(dependencies.timers)
    , m_batcher({.maxBatch = m_options.maxBatch,
                 .maxBatchBytes = maxBatchBytes,
                 .retention = m_options.retention,
                 .backoff = m_options.backoff},
                dependencies.store,
                dependencies.timers,
                dependencies.metrics)
    , m_freed(dependencies.metrics.counter("hornbeam_claims_freed_total",
                                           "Claims released because they were not confirmed in time."))
    , m_unsettled(dependencies.metrics.counter("hornbeam_claims_unsettled_total",
                                               "Outcomes and releases that could not be written in time."))
{
    for (const auto *name : outcomeNames) {
        m_outcomes.push_back(&dependencies.metrics.counter("hornbeam_claims_total",
                                                           "Decisions on claims for non-idempotent requests.",
                                                           {{.name = "outcome", .value = name}}));
    }
    m_grantCleanupTimer = m_timers.every(grantCleanupPeriod, [this] { removeOldGrants(); });
}

void StoreClaimCoordinator::Impl::post(std::function<void(Impl &)> work)
{
    m_executor.post([weak = weak_from_this(), work = std::move(work)] {
        if (const auto impl = weak.lock()) {
            work(*impl);
        }
    });
}

void StoreClaimCoordinator::Impl::begin(const AttemptPtr &attempt)
{
    const auto now = m_timers.now();
    attempt->grantDeadline = std::min(attempt->deadline, now + m_options.maxWait);
    const auto remaining = std::chrono::duration_cast<std::chrono::system_clock::duration>(attempt->deadline - now);
    attempt->deadlineMs = milliseconds(m_options.wallClock() + remaining);
    if (now >= attempt->deadline) {
        reject(attempt, ClaimOutcome::NotRun, "the deadline has passed");
        return;
    }
    if (m_batcher.queued() >= m_options.maxQueued) {
        reject(attempt, ClaimOutcome::NotRun, "too many claims are waiting for the store");
        return;
    }
    // The batcher keeps the attempt alive. The attempt owns the timer, so a strong reference here would be a cycle.
    attempt->timer = m_timers.once(attempt->grantDeadline - now, [this, weak = std::weak_ptr(attempt)] {
        if (const auto pending = weak.lock()) {
            handleTimeout(pending);
        }
    });
    send(attempt);
}

void StoreClaimCoordinator::Impl::send(const AttemptPtr &attempt)
{
    const ClaimRecord record{.state = ClaimState::Claimed,
                             .attempt = attempt->ticket.attempt,
                             .deadlineMs = attempt->deadlineMs,
                             .response = {}};
    attempt->writeId = m_batcher.submit(
        {.key = keyOf(attempt->ticket.identity),
         .expectedRevision = attempt->expectedRevision,
         .value = record.encode(),
         .expiresAt = TimePoint::max()},
        [this, attempt](const Result<ClaimWriteOutcome> &result) { handleWriteResult(attempt, result); });
}

void StoreClaimCoordinator::Impl::handleWriteResult(const AttemptPtr &attempt, const Result<ClaimWriteOutcome> &result)
{
    if (!result) {
        attempt->mayHaveWritten = true;
        if (m_timers.now() >= attempt->grantDeadline) {
            reject(attempt, ClaimOutcome::NotRun, "the store did not confirm the claim in time");
            releaseUngranted(*attempt, attempt->expectedRevision);
        } else {
            // Repeating the write has no further effect and shows whether the first copy took effect.
            send(attempt);
        }
    } else if (result->applied) {
        handleOwnClaim(attempt, result->revision);
    } else {
        handleExistingEntry(attempt, result->current);
    }
}

// The comparison failed, so earlier copies of the write can no longer take effect, unless the key is absent.
void StoreClaimCoordinator::Impl::handleExistingEntry(const AttemptPtr &attempt, const std::optional<KeyValue> &current)
{
    const auto record = current ? ClaimRecord::decode(current->value) : std::nullopt;
    const bool available = !current || (record && record->state == ClaimState::Released);
    if (available && record && record->attempt == attempt->ticket.attempt) {
        reject(attempt, ClaimOutcome::NotRun, "the claim was released before it was granted");
    } else if (available) {
        attempt->expectedRevision = current ? current->modRevision : 0;
        if (m_timers.now() >= attempt->grantDeadline) {
            reject(attempt, ClaimOutcome::NotRun, "the claim was not confirmed in time");
        } else {
            send(attempt);
        }
    } else if (!record) {
        reject(attempt, ClaimOutcome::Unknown, "the record of the claim is malformed");
    } else if (record->state == ClaimState::Completed) {
        deliver(attempt,
                {.outcome = ClaimOutcome::Completed,
                 .ticket = {},
                 .response = record->response,
                 .reason = "the request has already run"});
    } else if (record->state == ClaimState::Unknown) {
        reject(attempt, ClaimOutcome::Unknown, "the result of an earlier attempt is unknown");
    } else if (record->attempt == attempt->ticket.attempt) {
        handleOwnClaim(attempt, current->modRevision);
    } else if (milliseconds(m_options.wallClock()) < record->deadlineMs) {
        reject(attempt, ClaimOutcome::InProgress, "an earlier attempt is running");
    } else {
        reject(attempt, ClaimOutcome::Unknown, "an earlier attempt has not reported its result");
    }
}

void StoreClaimCoordinator::Impl::handleOwnClaim(const AttemptPtr &attempt, std::int64_t revision)
{
    // After a pause of the process, this can run long after the response arrived but before the timer.
    if (!attempt->callback || m_timers.now() >= attempt->grantDeadline) {
        reject(attempt, ClaimOutcome::NotRun, "the claim was confirmed too late");
        releaseUngranted(*attempt, revision);
        return;
    }
    m_granted[attempt->ticket.attempt] = {.revision = revision, .deadline = attempt->deadline};
    deliver(attempt, {.outcome = ClaimOutcome::Granted, .ticket = attempt->ticket, .response = {}, .reason = {}});
}

void StoreClaimCoordinator::Impl::handleTimeout(const AttemptPtr &attempt)
{
    const bool inFlight = !m_batcher.withdraw(attempt->writeId);
    reject(attempt, ClaimOutcome::NotRun, "the store did not confirm the claim in time");
    if (!inFlight && attempt->mayHaveWritten) {
        releaseUngranted(*attempt, attempt->expectedRevision);
    }
}

void StoreClaimCoordinator::Impl::deliver(const AttemptPtr &attempt, ClaimDecision decision)
{
    if (const auto callback = std::exchange(attempt->callback, nullptr)) {
        attempt->timer.reset();
        m_outcomes[static_cast<std::size_t>(decision.outcome)]->add();
        callback(std::move(decision));
    }
}

void StoreClaimCoordinator::Impl::reject(const AttemptPtr &attempt, ClaimOutcome outcome, const char *reason)
{
    deliver(attempt, {.outcome = outcome, .ticket = {}, .response = {}, .reason = reason});
}

// Releases a claim that was not granted. If the key does not exist yet, creates it with a released record, so that a
// copy of the claim that is still in transit to the store fails.
void StoreClaimCoordinator::Impl::releaseUngranted(const Attempt &attempt, std::int64_t expectedRevision)
{
    m_freed.add();
    const ClaimRecord record{
        .state = ClaimState::Released, .attempt = attempt.ticket.attempt, .deadlineMs = 0, .response = {}};
    settle(std::make_shared<Settlement>(Settlement{.ticket = attempt.ticket,
                                                   .value = record.encode(),
                                                   .expectedRevision = expectedRevision,
                                                   .expiresAt = m_timers.now() + m_options.settleTimeout}));
}

void StoreClaimCoordinator::Impl::settleTicket(const ClaimTicket &ticket, ClaimState state, RecordedResponse response)
{
    if (recordedBytes(response) > m_options.maxRecordedBytes) {
        response = {.status = response.status, .headers = {}, .body = {}, .bodyOmitted = true};
    }
    const ClaimRecord record{
        .state = state, .attempt = ticket.attempt, .deadlineMs = 0, .response = std::move(response)};
    const auto granted = m_granted.extract(ticket.attempt);
    settle(std::make_shared<Settlement>(Settlement{.ticket = ticket,
                                                   .value = record.encode(),
                                                   .expectedRevision = granted ? granted.mapped().revision : 0,
                                                   .expiresAt = m_timers.now() + m_options.settleTimeout}));
}

void StoreClaimCoordinator::Impl::settle(const std::shared_ptr<Settlement> &settlement)
{
    m_batcher.submit(
        {.key = keyOf(settlement->ticket.identity),
         .expectedRevision = settlement->expectedRevision,
         .value = settlement->value,
         .expiresAt = settlement->expiresAt},
        [this, settlement](const Result<ClaimWriteOutcome> &result) { handleSettleResult(settlement, result); });
}

void StoreClaimCoordinator::Impl::handleSettleResult(const std::shared_ptr<Settlement> &settlement,
                                                     const Result<ClaimWriteOutcome> &result)
{
    if (!result) {
        if (result.error().code() == ErrorCode::Cancelled) {
            m_unsettled.add();
        } else {
            settle(settlement);
        }
        return;
    }
    if (result->applied || !result->current) {
        return;
    }
    // The claim was written after the settlement was prepared, or this process does not know its revision.
    const auto record = ClaimRecord::decode(result->current->value);
    if (record && record->state == ClaimState::Claimed && record->attempt == settlement->ticket.attempt) {
        settlement->expectedRevision = result->current->modRevision;
        settle(settlement);
    }
}

void StoreClaimCoordinator::Impl::removeOldGrants()
{
    std::erase_if(m_granted, [limit = m_timers.now() - grantRetention](const auto &entry) {
        return entry.second.deadline < limit;
    });
}

std::string StoreClaimCoordinator::Impl::keyOf(const Digest &identity) const
{
    return m_options.prefix + identity.hex();
}

Result<std::unique_ptr<StoreClaimCoordinator>> StoreClaimCoordinator::make(
    StoreClaimCoordinatorOptions options, StoreClaimCoordinatorDependencies dependencies)
{
    if (options.prefix.empty() || !options.wallClock) {
        return makeError(ErrorCode::InvalidArgument, "the claim options need a prefix and a wall clock");
    }
    if (options.retention < shortestRetention || options.maxWait < std::chrono::milliseconds(1)
        || options.settleTimeout <= Duration::zero()) {
        return makeError(ErrorCode::InvalidArgument,
                         "retention, maxWait or settleTimeout of the claims is out of range");
    }
    if (options.maxBatch == 0 || options.maxBatch > maxBatchSize || options.maxQueued == 0
        || options.maxRecordedBytes > maxRecordableBytes) {
        return makeError(ErrorCode::InvalidArgument,
                         "maxBatch, maxQueued or maxRecordedBytes of the claims is out of range");
    }
    auto impl = std::make_shared<Impl>(std::move(options), dependencies);
    return std::unique_ptr<StoreClaimCoordinator>(new StoreClaimCoordinator(std::move(impl)));
}

StoreClaimCoordinator::StoreClaimCoordinator(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

StoreClaimCoordinator::~StoreClaimCoordinator() = default;

void StoreClaimCoordinator::claim(const Digest &identity,
                                  TimePoint deadline,
                                  std::function<void(ClaimDecision)> callback)
{
    claimAs({.identity = identity, .attempt = randomId()}, deadline, std::move(callback));
}

void StoreClaimCoordinator::claimAs(const ClaimTicket &ticket,
                                    TimePoint deadline,
                                    std::function<void(ClaimDecision)> callback)
{
    const auto attempt = std::make_shared<Attempt>();
    attempt->ticket = ticket;
    attempt->deadline = deadline;
    attempt->callback = std::move(callback);
    m_impl->post([attempt](Impl &impl) { impl.begin(attempt); });
}

void StoreClaimCoordinator::complete(const ClaimTicket &ticket, RecordedResponse response)
{
    m_impl->post([ticket, response = std::move(response)](Impl &impl) {
        impl.settleTicket(ticket, ClaimState::Completed, response);
    });
}

void StoreClaimCoordinator::release(const ClaimTicket &ticket)
{
    m_impl->post([ticket](Impl &impl) { impl.settleTicket(ticket, ClaimState::Released, {}); });
}

void StoreClaimCoordinator::markUnknown(const ClaimTicket &ticket)
{
    m_impl->post([ticket](Impl &impl) { impl.settleTicket(ticket, ClaimState::Unknown, {}); });
}

} // namespace Hornbeam
