#include <hornbeam/base/randomid.h>
#include <hornbeam/store/leaseelection.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace Hornbeam {

namespace {

constexpr std::chrono::seconds shortestTimeToLive(2);
constexpr std::uint32_t maxSlots = 1000;

/**
 * Renewals per time to live as long as none fails. A failed renewal is repeated after a delay of the backoff until one
 * succeeds or the slot is lost. How many may fail depends on the backoff and on how long the store calls take.
 */
constexpr int renewalsPerTimeToLive = 3;

} // namespace

Result<std::unique_ptr<LeaseElection>> LeaseElection::make(LeaseElectionOptions options,
                                                           KeyValueStore &store,
                                                           TimerService &timers,
                                                           LeaseElectionListener &listener)
{
    if (options.prefix.empty() || options.candidate.empty()) {
        return makeError(ErrorCode::InvalidArgument, "an election needs a prefix and a candidate name");
    }
    if (options.slots == 0 || options.slots > maxSlots) {
        return makeError(ErrorCode::InvalidArgument, "the number of slots of an election is not in 1..1000");
    }
    if (options.timeToLive < shortestTimeToLive || options.margin <= Duration::zero()
        || options.margin * 2 >= options.timeToLive) {
        return makeError(ErrorCode::InvalidArgument, "the time to live or the margin of an election is out of range");
    }
    return std::unique_ptr<LeaseElection>(new LeaseElection(std::move(options), store, timers, listener));
}

LeaseElection::LeaseElection(LeaseElectionOptions options,
                             KeyValueStore &store,
                             TimerService &timers,
                             LeaseElectionListener &listener)
    : m_options(std::move(options))
    , m_store(store)
    , m_timers(timers)
    , m_listener(listener)
    , m_backoff(m_options.backoff)
    , m_occupiedBackoff(m_options.occupiedBackoff)
    , m_random(m_options.backoff.seed != 0 ? m_options.backoff.seed : std::random_device()())
    , m_round(std::make_shared<std::uint64_t>(0))
{
}

LeaseElection::~LeaseElection() = default;

void LeaseElection::start()
{
    if (!std::exchange(m_running, true)) {
        readSlots();
    }
}

void LeaseElection::stop()
{
    m_running = false;
    m_nextStep.reset();
    endRound();
}

bool LeaseElection::isHolder() const
{
    return m_holder && m_timers.now() < m_validUntil;
}

std::optional<std::uint32_t> LeaseElection::slot() const
{
    return isHolder() ? std::optional(m_slot) : std::nullopt;
}

/** Returns a callback for @p step that does nothing when the round has ended or the election has been destroyed. */
template <typename T>
KeyValueStore::Callback<T> LeaseElection::forCurrentRound(void (LeaseElection::*step)(Result<T>))
{
    return [this, step, current = std::weak_ptr(m_round), round = *m_round](Result<T> result) {
        const auto latest = current.lock();
        if (latest && *latest == round) {
            (this->*step)(std::move(result));
        }
    };
}

void LeaseElection::readSlots()
{
    m_store.range({.key = m_options.prefix, .prefix = true, .limit = 0, .keysOnly = true},
                  forCurrentRound(&LeaseElection::slotsRead));
}

void LeaseElection::slotsRead(Result<RangeResult> result)
{
    if (!result) {
        retry(m_backoff, &LeaseElection::readSlots);
        return;
    }
    std::vector<std::uint32_t> free;
    for (m_slot = 0; m_slot < m_options.slots; ++m_slot) {
        const auto taken = [key = slotKey()](const KeyValue &entry) {
            return entry.key == key;
        };
        if (std::none_of(result->entries.begin(), result->entries.end(), taken)) {
            free.push_back(m_slot);
        }
    }
    if (free.empty()) {
        retry(m_occupiedBackoff, &LeaseElection::readSlots);
        return;
    }
    // A random choice makes it less likely that candidates which start together compete for the same slot.
    m_slot = free[std::uniform_int_distribution<std::size_t>(0, free.size() - 1)(m_random)];
    m_leaseRequestTime = m_timers.now();
    m_store.grantLease(m_options.timeToLive, forCurrentRound(&LeaseElection::leaseGranted));
}

void LeaseElection::leaseGranted(Result<LeaseGrant> result)
{
    if (!result) {
        retry(m_backoff, &LeaseElection::readSlots);
        return;
    }
    m_lease = result->id;
    m_validUntil = validUntil(m_leaseRequestTime);
    m_slotValue = m_options.candidate + " " + randomId();
    writeSlot();
}

void LeaseElection::writeSlot()
{
    if (m_timers.now() >= m_validUntil) {
        endRound();
        retry(m_backoff, &LeaseElection::readSlots);
        return;
    }
    Transaction transaction;
    transaction.compares = {{.key = slotKey(), .field = Compare::Field::CreateRevision, .revision = 0}};
    transaction.success = {Operation::put(slotKey(), m_slotValue, m_lease)};
    transaction.failure = {Operation::get(slotKey())};
    m_store.commit(std::move(transaction), forCurrentRound(&LeaseElection::slotWritten));
}

void LeaseElection::slotWritten(Result<TransactionResult> result)
{
    if (!result && result.error().code() != ErrorCode::NotFound) {
        // The write may have taken effect. If so, the repeated one fails its comparison and reads our own value.
        // With NotFound, the lease has expired: a repeated write would fail too, so a new round is started below.
        retry(m_backoff, &LeaseElection::writeSlot);
        return;
    }
    const auto own = [this](const OperationResult &operation) {
        return !operation.entries.empty() && operation.entries.front().value == m_slotValue;
    };
    const bool acquired = result
        && (result->succeeded || std::any_of(result->results.begin(), result->results.end(), own))
        && m_timers.now() < m_validUntil;
    if (!acquired) {
        endRound();
        retry(m_backoff, &LeaseElection::readSlots);
        return;
    }
    becomeHolder();
}

void LeaseElection::becomeHolder()
{
    m_holder = true;
    m_backoff.reset();
    m_occupiedBackoff.reset();
    armExpiry();
    scheduleRenewal();
    m_listener.acquired(m_slot);
}

void LeaseElection::scheduleRenewal()
{
    // Relative to the request, because a slow store has used a part of the time to live for its responses.
    const auto due = m_leaseRequestTime + Duration(m_options.timeToLive) / renewalsPerTimeToLive;
    m_nextStep = m_timers.once(std::max(Duration::zero(), due - m_timers.now()), [this] { renewLease(); });
}

void LeaseElection::renewLease()
{
    m_leaseRequestTime = m_timers.now();
    m_store.keepLeaseAlive(m_lease, forCurrentRound(&LeaseElection::leaseRenewed));
}

void LeaseElection::leaseRenewed(Result<LeaseGrant> result)
{
    if (!result && result.error().code() == ErrorCode::NotFound) {
        expire();
        return;
    }
    if (!result) {
        retry(m_backoff, &LeaseElection::renewLease);
        return;
    }
    m_backoff.reset();
    m_validUntil = validUntil(m_leaseRequestTime);
    armExpiry();
    scheduleRenewal();
}

void LeaseElection::armExpiry()
{
    m_expiry = m_timers.once(std::max(Duration::zero(), m_validUntil - m_timers.now()), [this] { expire(); });
}

void LeaseElection::expire()
{
    // The retry is scheduled before endRound() calls lost(): if the listener then calls stop(), that cancels the retry.
    retry(m_backoff, &LeaseElection::readSlots);
    endRound();
}

// Invalidates the callbacks of pending store calls, revokes the lease, and calls lost() if a slot was held. Revoking
// the lease frees the slot, and keeps a write that is still in flight from taking it.
void LeaseElection::endRound()
{
    ++*m_round;
    m_expiry.reset();
    if (const LeaseId lease = std::exchange(m_lease, 0); lease != 0) {
        m_store.revokeLease(lease, [](const Result<bool> &) {});
    }
    if (std::exchange(m_holder, false)) {
        m_listener.lost();
    }
}

void LeaseElection::retry(Backoff &backoff, void (LeaseElection::*step)())
{
    m_nextStep = m_timers.once(backoff.next(), [this, step] { (this->*step)(); });
}

std::string LeaseElection::slotKey() const
{
    return m_options.prefix + std::to_string(m_slot);
}

TimePoint LeaseElection::validUntil(TimePoint sent) const
{
    return sent + m_options.timeToLive - m_options.margin;
}

} // namespace Hornbeam
