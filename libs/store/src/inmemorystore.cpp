#include <hornbeam/store/inmemorystore.h>
#include <hornbeam/store/storemodel.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace Hornbeam {

namespace {

struct WatchState
{
    std::string prefix;
    std::int64_t nextRevision = 0;
    StoreGeneration generation = 0;
    WatchListener *listener = nullptr; ///< Null once the watch has ended.
    Executor *executor = nullptr;
    const void *owner = nullptr; ///< The handle that started the watch.
};

using WatchStatePtr = std::shared_ptr<WatchState>;

class InMemoryWatch : public Watch
{
public:
    explicit InMemoryWatch(WatchStatePtr state)
        : m_state(std::move(state))
    {
    }

    ~InMemoryWatch() override
    {
        m_state->listener = nullptr;
    }

private:
    WatchStatePtr m_state;
};

void postEnded(const WatchStatePtr &watch, Error error)
{
    watch->executor->post([watch, error = std::move(error)] {
        if (auto *listener = std::exchange(watch->listener, nullptr)) {
            listener->ended(error);
        }
    });
}

void postChanged(const WatchStatePtr &watch, std::vector<KeyValue> changes)
{
    watch->executor->post([watch, changes = std::move(changes)] {
        if (watch->listener != nullptr) {
            watch->listener->changed(changes);
        }
    });
}

/** The state of a store, shared by its handles. */
class SharedState : public std::enable_shared_from_this<SharedState>
{
public:
    explicit SharedState(TimerService &timers)
        : m_timers(timers)
    {
    }

    StoreModel &model()
    {
        return m_model;
    }

    TimePoint now() const
    {
        return m_timers.now();
    }

    void after(Duration delay, std::function<void(SharedState &)> work)
    {
        if (delay <= Duration::zero()) {
            work(*this);
            return;
        }
        const auto id = m_nextTimer++;
        m_delayed.emplace(id, m_timers.once(delay, [this, id, work = std::move(work)] {
            const auto keepAlive = shared_from_this();
            const auto handle = std::move(m_delayed.at(id));
            m_delayed.erase(id);
            work(*this);
        }));
    }

    void addWatch(WatchStatePtr watch)
    {
        m_watches.push_back(std::move(watch));
        publish();
    }

    void endWatches(const void *owner, const Error &error)
    {
        for (const auto &watch : m_watches) {
            if (watch->owner == owner) {
                postEnded(watch, error);
            }
        }
        std::erase_if(m_watches, [owner](const WatchStatePtr &watch) { return watch->owner == owner; });
    }

    /** Notifies the watches of changes and restarts the lease timer; call it after each change. */
    void publish()
    {
        std::erase_if(m_watches, [](const WatchStatePtr &watch) { return watch->listener == nullptr; });
        const auto watches = m_watches;
        for (const auto &watch : watches) {
            publishTo(watch);
        }
        armExpiry();
    }

private:
    void publishTo(const WatchStatePtr &watch)
    {
        auto changes = m_model.changesSince(watch->prefix, watch->nextRevision);
        if (isRestoration(watch->generation, m_model.generation())) {
            changes = makeError(ErrorCode::Conflict, "the store was restored from a copy");
        }
        if (!changes) {
            postEnded(watch, changes.error());
            std::erase(m_watches, watch);
            return;
        }
        watch->nextRevision = std::max(watch->nextRevision, m_model.revision() + 1);
        if (!changes->empty()) {
            postChanged(watch, std::move(*changes));
        }
    }

    void armExpiry()
    {
        const auto next = m_model.nextExpiry();
        if (!next) {
            m_expiry.reset();
            return;
        }
        m_expiry = m_timers.once(std::max(Duration::zero(), *next - m_timers.now()), [this] {
            const auto keepAlive = shared_from_this();
            m_model.expireLeases(m_timers.now());
            publish();
        });
    }

    TimerService &m_timers;
    StoreModel m_model;
    std::vector<WatchStatePtr> m_watches;
    std::map<std::uint64_t, TimerHandle> m_delayed;
    std::uint64_t m_nextTimer = 1;
    TimerHandle m_expiry;
};

bool writesPrefix(const Transaction &transaction, const std::string &prefix)
{
    const auto writes = [&prefix](const Operation &operation) {
        if (operation.kind == Operation::Kind::Nested) {
            return writesPrefix(operation.nested.front(), prefix);
        }
        return operation.kind != Operation::Kind::Get && operation.key.starts_with(prefix);
    };
    return std::any_of(transaction.success.begin(), transaction.success.end(), writes)
        || std::any_of(transaction.failure.begin(), transaction.failure.end(), writes);
}

/** A call in progress. Its first result, which may be a timeout, is passed to the callback; later ones are ignored. */
template <typename T>
class PendingCall
{
public:
    PendingCall(Executor &executor, std::weak_ptr<const void> handle, KeyValueStore::Callback<T> callback)
        : m_executor(executor)
        , m_handle(std::move(handle))
        , m_callback(std::move(callback))
    {
    }

    void complete(Result<T> result)
    {
        auto callback = std::exchange(m_callback, nullptr);
        if (callback && !m_handle.expired()) {
            m_executor.post([callback = std::move(callback), result = std::move(result)]() mutable {
                callback(std::move(result));
            });
        }
    }

private:
    Executor &m_executor;
    std::weak_ptr<const void> m_handle;
    KeyValueStore::Callback<T> m_callback;
};

} // namespace

class InMemoryStore::Impl : public std::enable_shared_from_this<Impl>
{
public:
    enum class CallKind {
        Read,
        Write,
    };

    Impl(Executor &executor, std::shared_ptr<SharedState> state, InMemoryStoreOptions options)
        : m_executor(executor)
        , m_state(std::move(state))
        , m_options(options)
    {
    }

    template <typename T>
    void call(CallKind kind, bool answerLost, std::function<Result<T>(SharedState &)> effect, Callback<T> callback)
    {
        const bool write = kind == CallKind::Write;
        ++(write ? m_calls.writes : m_calls.reads);
        const auto pending = std::make_shared<PendingCall<T>>(m_executor, weak_from_this(), std::move(callback));
        if (m_faults.unavailable) {
            pending->complete(makeError(ErrorCode::Unavailable, "the store is unavailable"));
            return;
        }
        if (write && m_faults.loseRequests > 0) {
            --m_faults.loseRequests;
            pending->complete(makeError(ErrorCode::OutcomeUnknown, "the connection was closed before a response"));
            return;
        }
        if (write && m_faults.loseAnswers > 0) {
            --m_faults.loseAnswers;
            answerLost = true;
        }
        if (m_faults.applyDelay + m_faults.answerDelay >= m_options.requestTimeout) {
            const auto code = write ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable;
            m_state->after(m_options.requestTimeout, [pending, code](SharedState &) {
                pending->complete(makeError(code, "the request timed out"));
            });
        }
        const auto answerDelay = m_faults.answerDelay;
        auto apply = [pending, answerLost, answerDelay, effect = std::move(effect)](SharedState &state) {
            Result<T> result = effect(state);
            state.publish();
            if (answerLost) {
                result = makeError(ErrorCode::OutcomeUnknown, "the connection was closed before a response");
            }
            state.after(answerDelay,
                        [pending, result = std::move(result)](SharedState &) { pending->complete(result); });
        };
        m_state->after(m_faults.applyDelay, std::move(apply));
    }

    std::unique_ptr<Watch> watch(WatchRequest request, WatchListener &listener)
    {
        const auto watch = std::make_shared<WatchState>();
        watch->nextRevision = request.startRevision > 0 ? request.startRevision : m_state->model().revision() + 1;
        watch->generation = request.generation.value_or(m_state->model().generation());
        watch->prefix = std::move(request.prefix);
        watch->listener = &listener;
        watch->executor = &m_executor;
        watch->owner = this;
        if (m_faults.unavailable) {
            postEnded(watch, Error(ErrorCode::Unavailable, "the store is unavailable"));
        } else {
            m_state->addWatch(watch);
        }
        return std::make_unique<InMemoryWatch>(watch);
    }

    void setFaults(InMemoryStoreFaults faults)
    {
        m_faults = std::move(faults);
        if (m_faults.unavailable) {
            m_state->endWatches(this, Error(ErrorCode::Unavailable, "the store became unavailable"));
        }
    }

    bool losesAnswer(const Transaction &transaction) const
    {
        return !m_faults.loseAnswersPrefix.empty() && writesPrefix(transaction, m_faults.loseAnswersPrefix);
    }

    Executor &m_executor;
    std::shared_ptr<SharedState> m_state;
    InMemoryStoreOptions m_options;
    InMemoryStoreFaults m_faults;
    InMemoryStoreCalls m_calls;
};

InMemoryStore::InMemoryStore(Executor &executor, TimerService &timers, InMemoryStoreOptions options)
    : m_impl(std::make_shared<Impl>(executor, std::make_shared<SharedState>(timers), options))
{
}

InMemoryStore::InMemoryStore(Executor &executor, const InMemoryStore &store)
    : m_impl(std::make_shared<Impl>(executor, store.m_impl->m_state, store.m_impl->m_options))
{
}

InMemoryStore::~InMemoryStore()
{
    m_impl->m_state->endWatches(m_impl.get(), Error(ErrorCode::Cancelled, "the store handle was closed"));
}

void InMemoryStore::range(RangeRequest request, Callback<RangeResult> callback)
{
    auto read = [staleness = m_impl->m_faults.staleReads, request = std::move(request)](SharedState &state) {
        return Result<RangeResult>(state.model().range(request, staleness));
    };
    m_impl->call<RangeResult>(Impl::CallKind::Read, false, std::move(read), std::move(callback));
}

void InMemoryStore::commit(Transaction transaction, Callback<TransactionResult> callback)
{
    const bool answerLost = m_impl->losesAnswer(transaction);
    auto write = [transaction = std::move(transaction)](SharedState &state) {
        return state.model().commit(transaction);
    };
    m_impl->call<TransactionResult>(Impl::CallKind::Write, answerLost, std::move(write), std::move(callback));
}

void InMemoryStore::grantLease(std::chrono::seconds timeToLive, Callback<LeaseGrant> callback)
{
    auto grant = [timeToLive](SharedState &state) {
        return Result<LeaseGrant>(state.model().grantLease(timeToLive, state.now()));
    };
    m_impl->call<LeaseGrant>(Impl::CallKind::Write, false, std::move(grant), std::move(callback));
}

void InMemoryStore::keepLeaseAlive(LeaseId lease, Callback<LeaseGrant> callback)
{
    auto extend = [lease](SharedState &state) {
        return state.model().keepLeaseAlive(lease, state.now());
    };
    m_impl->call<LeaseGrant>(Impl::CallKind::Write, false, std::move(extend), std::move(callback));
}

void InMemoryStore::revokeLease(LeaseId lease, Callback<bool> callback)
{
    auto revoke = [lease](SharedState &state) {
        return state.model().revokeLease(lease);
    };
    m_impl->call<bool>(Impl::CallKind::Write, false, std::move(revoke), std::move(callback));
}

std::unique_ptr<Watch> InMemoryStore::watch(WatchRequest request, WatchListener &listener)
{
    return m_impl->watch(std::move(request), listener);
}

StoreModel InMemoryStore::copy() const
{
    return m_impl->m_state->model();
}

void InMemoryStore::restore(const StoreModel &copy)
{
    m_impl->m_state->model().restore(copy);
    m_impl->m_state->publish();
}

void InMemoryStore::setFaults(InMemoryStoreFaults faults)
{
    m_impl->setFaults(std::move(faults));
}

const InMemoryStoreFaults &InMemoryStore::faults() const
{
    return m_impl->m_faults;
}

const InMemoryStoreCalls &InMemoryStore::calls() const
{
    return m_impl->m_calls;
}

std::int64_t InMemoryStore::revision() const
{
    return m_impl->m_state->model().revision();
}

StoreGeneration InMemoryStore::generation() const
{
    return m_impl->m_state->model().generation();
}

} // namespace Hornbeam
