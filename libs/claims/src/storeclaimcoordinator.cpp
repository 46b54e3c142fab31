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
    std::size_t{512} * 1024; ///< Well below etcd's request limit of 1.5 MB, base64 included.
constexpr std::size_t maxRecordableBytes = std::size_t{256} * 1024;
constexpr std::chrono::seconds shortestRetention(60);

/** Revisions of granted claims are forgotten this long after the deadline if the proxy reports no result. */
constexpr std::chrono::minutes forgetAfter(10);
constexpr std::chrono::minutes forgetPeriod(1);

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

/** A claim from its arrival to its decision, and further until a late write of it is settled. */
struct Attempt
{
    ClaimTicket ticket;
    TimePoint deadline;
    TimePoint cutoff; ///< No grant from here on: the deadline or the end of the longest wait.
    std::int64_t deadlineMs = 0;
    std::function<void(ClaimDecision)> callback; ///< Empty once the decision was delivered.
    std::int64_t expectedRevision = 0; ///< Of a released claim that is taken over; 0 to create the key.
    bool uncertain = false; ///< A write was sent whose effect is not known.
    std::uint64_t write = 0;
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
    /** The final record of an attempt on its way into the store. */
    struct Settlement
    {
        ClaimTicket ticket;
        std::string value;
        std::int64_t expectedRevision = 0;
        TimePoint giveUp;
    };

    void send(const AttemptPtr &attempt);
    void answered(const AttemptPtr &attempt, const Result<ClaimWriteOutcome> &result);
    void found(const AttemptPtr &attempt, const std::optional<KeyValue> &current);
    void owned(const AttemptPtr &attempt, std::int64_t revision);
    void timeOut(const AttemptPtr &attempt);
    void deliver(const AttemptPtr &attempt, ClaimDecision decision);
    void reject(const AttemptPtr &attempt, ClaimOutcome outcome, const char *reason);
    void free(const Attempt &attempt, std::int64_t expectedRevision);
    void settle(const std::shared_ptr<Settlement> &settlement);
    void settled(const std::shared_ptr<Settlement> &settlement, const Result<ClaimWriteOutcome> &result);
    void forgetOld();
    std::string keyOf(const Digest &identity) const;

    StoreClaimCoordinatorOptions m_options;
    Executor &m_executor;
    TimerService &m_timers;
    ClaimBatcher m_batcher;
    std::vector<Counter *> m_outcomes;
    Counter &m_freed;
    Counter &m_unsettled;
    std::map<std::string, GrantedClaim> m_granted; ///< By attempt id.
    TimerHandle m_forgetTimer;
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
                                           "Claims freed because they were not certain before the deadline."))
    , m_unsettled(dependencies.metrics.counter("hornbeam_claims_unsettled_total",
                                               "Outcomes and releases that could not be written in time."))
{
    for (const auto *name : outcomeNames) {
        m_outcomes.push_back(&dependencies.metrics.counter(
            "hornbeam_claims_total", "Decisions on non-idempotent requests.", {{.name = "outcome", .value = name}}));
    }
    m_forgetTimer = m_timers.every(forgetPeriod, [this] { forgetOld(); });
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
    attempt->cutoff = std::min(attempt->deadline, now + m_options.maxWait);
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
    // The batcher keeps the attempt alive; a strong reference here would keep the timer alive with it.
    attempt->timer = m_timers.once(attempt->cutoff - now, [this, weak = std::weak_ptr(attempt)] {
        if (const auto pending = weak.lock()) {
            timeOut(pending);
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
    attempt->write =
        m_batcher.submit({.key = keyOf(attempt->ticket.identity),
                          .expectedRevision = attempt->expectedRevision,
                          .value = record.encode(),
                          .giveUp = TimePoint::max()},
                         [this, attempt](const Result<ClaimWriteOutcome> &result) { answered(attempt, result); });
}

void StoreClaimCoordinator::Impl::answered(const AttemptPtr &attempt, const Result<ClaimWriteOutcome> &result)
{
    if (!result) {
        attempt->uncertain = true;
        if (m_timers.now() >= attempt->cutoff) {
            reject(attempt, ClaimOutcome::NotRun, "the store did not confirm the claim in time");
            free(*attempt, attempt->expectedRevision);
        } else {
            // The repetition has no second effect and shows whether the first copy took effect.
            send(attempt);
        }
    } else if (result->applied) {
        owned(attempt, result->revision);
    } else {
        found(attempt, result->current);
    }
}

// The comparison failed, so no earlier copy of the write can take effect any more unless the key is absent.
void StoreClaimCoordinator::Impl::found(const AttemptPtr &attempt, const std::optional<KeyValue> &current)
{
    const auto record = current ? ClaimRecord::decode(current->value) : std::nullopt;
    const bool available = !current || (record && record->state == ClaimState::Released);
    if (available && record && record->attempt == attempt->ticket.attempt) {
        reject(attempt, ClaimOutcome::NotRun, "the claim was released before it was granted");
    } else if (available) {
        attempt->expectedRevision = current ? current->modRevision : 0;
        if (m_timers.now() >= attempt->cutoff) {
            reject(attempt, ClaimOutcome::NotRun, "the claim was not certain in time");
        } else {
            send(attempt);
        }
    } else if (!record) {
        reject(attempt, ClaimOutcome::Unknown, "the claim's record is unreadable");
    } else if (record->state == ClaimState::Completed) {
        deliver(attempt,
                {.outcome = ClaimOutcome::Completed,
                 .ticket = {},
                 .response = record->response,
                 .reason = "the request has already run"});
    } else if (record->state == ClaimState::Unknown) {
        reject(attempt, ClaimOutcome::Unknown, "the result of an earlier attempt is not known");
    } else if (record->attempt == attempt->ticket.attempt) {
        owned(attempt, current->modRevision);
    } else if (milliseconds(m_options.wallClock()) < record->deadlineMs) {
        reject(attempt, ClaimOutcome::InProgress, "an earlier attempt is running");
    } else {
        reject(attempt, ClaimOutcome::Unknown, "an earlier attempt has not reported its result");
    }
}

void StoreClaimCoordinator::Impl::owned(const AttemptPtr &attempt, std::int64_t revision)
{
    // A process that was paused can run this long after the answer arrived, and before its timers.
    if (!attempt->callback || m_timers.now() >= attempt->cutoff) {
        reject(attempt, ClaimOutcome::NotRun, "the claim was certain only after the deadline");
        free(*attempt, revision);
        return;
    }
    m_granted[attempt->ticket.attempt] = {.revision = revision, .deadline = attempt->deadline};
    deliver(attempt, {.outcome = ClaimOutcome::Granted, .ticket = attempt->ticket, .response = {}, .reason = {}});
}

void StoreClaimCoordinator::Impl::timeOut(const AttemptPtr &attempt)
{
    const bool inFlight = !m_batcher.withdraw(attempt->write);
    reject(attempt, ClaimOutcome::NotRun, "the store did not confirm the claim in time");
    if (!inFlight && attempt->uncertain) {
        free(*attempt, attempt->expectedRevision);
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

// Frees a claim that was not granted. Where the key does not exist yet, the released record is created, so that a
// copy of the claim that is still on its way to the store fails.
void StoreClaimCoordinator::Impl::free(const Attempt &attempt, std::int64_t expectedRevision)
{
    m_freed.add();
    const ClaimRecord record{
        .state = ClaimState::Released, .attempt = attempt.ticket.attempt, .deadlineMs = 0, .response = {}};
    settle(std::make_shared<Settlement>(Settlement{.ticket = attempt.ticket,
                                                   .value = record.encode(),
                                                   .expectedRevision = expectedRevision,
                                                   .giveUp = m_timers.now() + m_options.settleTime}));
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
                                                   .giveUp = m_timers.now() + m_options.settleTime}));
}

void StoreClaimCoordinator::Impl::settle(const std::shared_ptr<Settlement> &settlement)
{
    m_batcher.submit({.key = keyOf(settlement->ticket.identity),
                      .expectedRevision = settlement->expectedRevision,
                      .value = settlement->value,
                      .giveUp = settlement->giveUp},
                     [this, settlement](const Result<ClaimWriteOutcome> &result) { settled(settlement, result); });
}

void StoreClaimCoordinator::Impl::settled(const std::shared_ptr<Settlement> &settlement,
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
    // The claim landed after the settlement was prepared, or the revision of its grant is not known here.
    const auto record = ClaimRecord::decode(result->current->value);
    if (record && record->state == ClaimState::Claimed && record->attempt == settlement->ticket.attempt) {
        settlement->expectedRevision = result->current->modRevision;
        settle(settlement);
    }
}

void StoreClaimCoordinator::Impl::forgetOld()
{
    std::erase_if(m_granted,
                  [limit = m_timers.now() - forgetAfter](const auto &entry) { return entry.second.deadline < limit; });
}

std::string StoreClaimCoordinator::Impl::keyOf(const Digest &identity) const
{
    return m_options.prefix + identity.hex();
}

Result<std::unique_ptr<StoreClaimCoordinator>> StoreClaimCoordinator::make(
    StoreClaimCoordinatorOptions options, StoreClaimCoordinatorDependencies dependencies)
{
    if (options.prefix.empty() || !options.wallClock) {
        return makeError(ErrorCode::InvalidArgument, "claims need a prefix and a wall clock");
    }
    if (options.retention < shortestRetention || options.maxWait < std::chrono::milliseconds(1)
        || options.settleTime <= Duration::zero()) {
        return makeError(ErrorCode::InvalidArgument, "a time of the claims is out of range");
    }
    if (options.maxBatch == 0 || options.maxBatch > maxBatchSize || options.maxQueued == 0
        || options.maxRecordedBytes > maxRecordableBytes) {
        return makeError(ErrorCode::InvalidArgument, "a bound of the claims is out of range");
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
