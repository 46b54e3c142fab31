#include <hornbeam/base/executor.h>
#include <hornbeam/base/metrics.h>
#include <hornbeam/store/httpstore.h>
#include <hornbeam/store/storeprotocol.h>

#include "transferloop.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <optional>
#include <utility>

namespace Hornbeam {

namespace {

enum class CallKind {
    Range,
    Commit,
    GrantLease,
    KeepLeaseAlive,
    RevokeLease,
    Watch,
};

constexpr std::size_t callKinds = 6;
constexpr std::array<const char *, callKinds> callNames = {
    "range", "commit", "grant_lease", "keep_lease_alive", "revoke_lease", "watch"};

struct CallMetrics
{
    Counter *calls = nullptr;
    Counter *failures = nullptr;
    LatencyRecorder *latency = nullptr;
};

/** Shared by the owner of a watch and the I/O thread. */
struct WatchState
{
    WatchListener *listener = nullptr; ///< Executor's thread only; null once the watch has ended.
    std::uint64_t transferId = 0; ///< The running transfer of the watch.
    bool stopped = false; ///< I/O thread only. When set, no further poll is started.
    TimePoint pollStarted{}; ///< I/O thread only.
    std::optional<StoreGeneration> generation; ///< I/O thread only. Of the watched revisions, as soon as it is known.
};

using WatchStatePtr = std::shared_ptr<WatchState>;

/** The error of a transfer that did not complete. */
Error transferError(const TransferResult &result, bool write)
{
    const auto code = write && result.sent ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable;
    return {code, std::string("store call failed: ") + curl_easy_strerror(result.code)};
}

bool isNumericAddress(const std::string &address)
{
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(AF_INET, address.c_str(), buffer.data()) == 1
        || inet_pton(AF_INET6, address.c_str(), buffer.data()) == 1;
}

} // namespace

class HttpStore::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(HttpStoreOptions options,
         std::unique_ptr<const StoreProtocol> protocol,
         Executor &executor,
         MetricsRegistry &metrics);

    void start()
    {
        m_transfers.start();
    }

    void stop()
    {
        m_transfers.stop();
    }

    const StoreProtocol &protocol() const
    {
        return *m_protocol;
    }

    template <typename T>
    using Decode = std::function<Result<T>(const StoreReply &reply)>;

    template <typename T>
    void call(CallKind kind, StoreCall storeCall, Decode<T> decode, Callback<T> done);

    template <typename T>
    void fail(Error error, Callback<T> done);

    /** Reads the pages of a range one after the other; @p collected has the entries of the earlier pages. */
    void readPages(RangeRequest request, RangeResult collected, Callback<RangeResult> done);

    std::unique_ptr<Watch> watch(const WatchRequest &request, WatchListener &listener);
    void endWatch(const WatchStatePtr &state);

private:
    class WatchHandle;

    void post(std::function<void()> work);
    void beginWatch(const WatchRequest &request, const WatchStatePtr &state);
    void beginStream(const WatchRequest &request, const WatchStatePtr &state);
    void beginLongPoll(const WatchRequest &request, const WatchStatePtr &state);
    Transfer &beginWatchCall(TransferKind kind,
                             const WatchRequest &request,
                             const WatchStatePtr &state,
                             TransferLoop::FinishedCallback finished);
    void longPollFinished(const TransferResult &result, const WatchRequest &request, const WatchStatePtr &state);
    void handleStreamBytes(const WatchStatePtr &state, std::string &buffer, std::string_view bytes);
    void handleStreamLine(const WatchStatePtr &state, std::string_view line);

    /** Passes a message on to the listener. Returns false when the message or an error ends the watch. */
    bool handleWatchMessage(const WatchStatePtr &state, Result<WatchMessage> message);
    void postWatchEnded(const WatchStatePtr &state, Error error);

    HttpStoreOptions m_options;
    const std::unique_ptr<const StoreProtocol> m_protocol;
    Executor &m_executor;
    std::array<CallMetrics, callKinds> m_metrics;
    std::atomic<std::uint32_t> m_inFlight = 0;
    std::atomic<std::uint64_t> m_nextTransferId = 1;
    TransferLoop m_transfers;
};

class HttpStore::Impl::WatchHandle : public Watch
{
public:
    WatchHandle(std::weak_ptr<Impl> impl, WatchStatePtr state)
        : m_impl(std::move(impl))
        , m_state(std::move(state))
    {
    }

    ~WatchHandle() override
    {
        m_state->listener = nullptr;
        if (const auto impl = m_impl.lock()) {
            impl->endWatch(m_state);
        }
    }

private:
    std::weak_ptr<Impl> m_impl;
    WatchStatePtr m_state;
};

HttpStore::Impl::Impl(HttpStoreOptions options,
                      std::unique_ptr<const StoreProtocol> protocol,
                      Executor &executor,
                      MetricsRegistry &metrics)
    : m_options(std::move(options))
    , m_protocol(std::move(protocol))
    , m_executor(executor)
    , m_transfers(m_options, m_protocol->generationHeader(), metrics)
{
    for (std::size_t i = 0; i < callKinds; ++i) {
        const std::vector<MetricLabel> labels = {{.name = "call", .value = callNames[i]}};
        m_metrics[i] = {
            .calls = &metrics.counter("hornbeam_store_calls_total", "Calls to the store.", labels),
            .failures = &metrics.counter("hornbeam_store_failures_total", "Calls to the store that failed.", labels),
            .latency = &metrics.latency("hornbeam_store_call_seconds", "Duration of calls to the store.", labels)};
    }
}

template <typename T>
void HttpStore::Impl::call(CallKind kind, StoreCall storeCall, Decode<T> decode, Callback<T> done)
{
    const bool write = kind != CallKind::Range;
    const auto &metrics = m_metrics[static_cast<std::size_t>(kind)];
    metrics.calls->add();
    if (m_inFlight.fetch_add(1) >= m_options.maxCallsInFlight) {
        m_inFlight.fetch_sub(1);
        metrics.failures->add();
        fail<T>(Error(ErrorCode::Overloaded, "too many store calls in flight"), std::move(done));
        return;
    }
    const auto started = std::chrono::steady_clock::now();
    auto finished = [this, write, &metrics, started, decode = std::move(decode), done = std::move(done)](
                        const TransferResult &transfer) {
        m_inFlight.fetch_sub(1);
        metrics.latency->record(std::chrono::steady_clock::now() - started);
        Result<T> result = tl::make_unexpected(transferError(transfer, write));
        if (transfer.code == CURLE_OK) {
            result = decode({.status = transfer.status, .body = transfer.body, .generation = transfer.generation});
            if (!result && transfer.status == 200 && result.error().code() == ErrorCode::InvalidArgument) {
                const auto code = write ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable;
                result = makeError(code, "malformed response from the store: " + result.error().message());
            }
        }
        if (!result) {
            metrics.failures->add();
        }
        post([done, result = std::move(result)]() mutable { done(std::move(result)); });
    };
    const auto id = m_nextTransferId.fetch_add(1);
    const auto transferKind = write ? TransferKind::Call : TransferKind::RepeatableCall;
    m_transfers.submit(
        [this, id, transferKind, storeCall = std::move(storeCall), finished = std::move(finished)]() mutable {
            m_transfers.begin(id, transferKind, std::move(storeCall), std::move(finished));
        });
}

template <typename T>
void HttpStore::Impl::fail(Error error, Callback<T> done)
{
    post([done = std::move(done), error = std::move(error)] { done(tl::make_unexpected(error)); });
}

void HttpStore::Impl::readPages(RangeRequest request, RangeResult collected, Callback<RangeResult> done)
{
    const auto storeCall = m_protocol->rangeCall(request);
    call<RangeResult>(
        CallKind::Range,
        storeCall,
        [this, request](const StoreReply &reply) { return m_protocol->decodeRange(request, reply); },
        [this, request, collected = std::move(collected), done = std::move(done)](Result<RangeResult> page) mutable {
            if (!page) {
                done(std::move(page));
                return;
            }
            // Pages of different generations could miss keys, and their revisions cannot be compared.
            if (isRestoration(collected.generation, page->generation)) {
                done(makeError(ErrorCode::Unavailable, "the store was restored between two pages"));
                return;
            }
            // The pages do not form a snapshot: to miss no change, a watch must start at the first page's revision.
            collected.revision =
                collected.entries.empty() ? page->revision : std::min(collected.revision, page->revision);
            collected.generation = page->generation;
            std::move(page->entries.begin(), page->entries.end(), std::back_inserter(collected.entries));
            if (!page->more || collected.entries.empty()) {
                done(std::move(collected));
                return;
            }
            request.after = collected.entries.back().key;
            readPages(std::move(request), std::move(collected), std::move(done));
        });
}

std::unique_ptr<Watch> HttpStore::Impl::watch(const WatchRequest &request, WatchListener &listener)
{
    const auto state = std::make_shared<WatchState>();
    state->listener = &listener;
    state->transferId = m_nextTransferId.fetch_add(1);
    state->generation = request.generation;
    m_transfers.submit([this, state, request] { beginWatch(request, state); });
    return std::make_unique<WatchHandle>(weak_from_this(), state);
}

void HttpStore::Impl::endWatch(const WatchStatePtr &state)
{
    m_transfers.submit([this, state] {
        state->stopped = true;
        m_transfers.cancel(state->transferId);
    });
}

void HttpStore::Impl::post(std::function<void()> work)
{
    m_executor.post([alive = weak_from_this(), work = std::move(work)] {
        if (!alive.expired()) {
            work();
        }
    });
}

void HttpStore::Impl::beginWatch(const WatchRequest &request, const WatchStatePtr &state)
{
    if (m_protocol->watchStyle() == StoreProtocol::WatchStyle::Stream) {
        beginStream(request, state);
    } else {
        beginLongPoll(request, state);
    }
}

void HttpStore::Impl::beginStream(const WatchRequest &request, const WatchStatePtr &state)
{
    auto finished = [this, state](const TransferResult &result) {
        if (result.code != CURLE_OK) {
            postWatchEnded(state, transferError(result, false));
        } else if (result.status == 200) {
            postWatchEnded(state, Error(ErrorCode::Unavailable, "the store closed the watch"));
        } else {
            postWatchEnded(state, m_protocol->decodeError({.status = result.status, .body = result.body}));
        }
    };
    auto &transfer = beginWatchCall(TransferKind::Stream, request, state, std::move(finished));
    transfer.setBodySink([this, state, &transfer, buffer = std::string()](std::string_view bytes) mutable {
        if (transfer.status() == 200) {
            handleStreamBytes(state, buffer, bytes);
        }
        return buffer.size() <= Transfer::maxResponseBytes;
    });
}

void HttpStore::Impl::beginLongPoll(const WatchRequest &request, const WatchStatePtr &state)
{
    state->pollStarted = std::chrono::steady_clock::now();
    beginWatchCall(TransferKind::Poll, request, state, [this, request, state](const TransferResult &result) {
        longPollFinished(result, request, state);
    });
}

Transfer &HttpStore::Impl::beginWatchCall(TransferKind kind,
                                          const WatchRequest &request,
                                          const WatchStatePtr &state,
                                          TransferLoop::FinishedCallback finished)
{
    m_metrics[static_cast<std::size_t>(CallKind::Watch)].calls->add();
    return m_transfers.begin(state->transferId, kind, m_protocol->watchCall(request), std::move(finished));
}

void HttpStore::Impl::longPollFinished(const TransferResult &result,
                                       const WatchRequest &request,
                                       const WatchStatePtr &state)
{
    if (result.code != CURLE_OK) {
        postWatchEnded(state, transferError(result, false));
        return;
    }
    auto message =
        m_protocol->decodeWatch({.status = result.status, .body = result.body, .generation = result.generation});
    const auto revision = message ? message->revision : 0;
    if (!handleWatchMessage(state, std::move(message))) {
        return;
    }
    auto next = request;
    next.startRevision = std::max(request.startRevision, revision + 1);
    // The next poll has the same transfer ID, by which the watch's handle cancels it. It is started by a command of its
    // own, because the finished transfer is destroyed only after this function has returned.
    m_transfers.submitAt(state->pollStarted + m_options.minPollInterval, [this, next, state] {
        if (!state->stopped) {
            beginLongPoll(next, state);
        }
    });
}

void HttpStore::Impl::handleStreamBytes(const WatchStatePtr &state, std::string &buffer, std::string_view bytes)
{
    buffer.append(bytes);
    std::size_t begin = 0;
    for (auto end = buffer.find('\n'); end != std::string::npos; end = buffer.find('\n', begin)) {
        handleStreamLine(state, std::string_view(buffer).substr(begin, end - begin));
        begin = end + 1;
    }
    buffer.erase(0, begin);
}

void HttpStore::Impl::handleStreamLine(const WatchStatePtr &state, std::string_view line)
{
    handleWatchMessage(state, m_protocol->decodeWatch({.status = 200, .body = line}));
}

bool HttpStore::Impl::handleWatchMessage(const WatchStatePtr &state, Result<WatchMessage> message)
{
    if (!message) {
        postWatchEnded(state, Error(ErrorCode::Unavailable, message.error().message()));
        return false;
    }
    if (message->cancelled) {
        const auto code = message->compactRevision != 0 ? ErrorCode::Conflict : ErrorCode::Unavailable;
        postWatchEnded(state, Error(code, "the store cancelled the watch: " + message->cancelReason));
        return false;
    }
    if (isRestoration(state->generation, message->generation)) {
        postWatchEnded(state, Error(ErrorCode::Conflict, "the store was restored from a copy"));
        return false;
    }
    if (message->generation) {
        state->generation = message->generation;
    }
    if (!message->changes.empty()) {
        post([state, changes = std::move(message->changes)] {
            if (state->listener != nullptr) {
                state->listener->changed(changes);
            }
        });
    }
    return true;
}

void HttpStore::Impl::postWatchEnded(const WatchStatePtr &state, Error error)
{
    m_metrics[static_cast<std::size_t>(CallKind::Watch)].failures->add();
    post([this, state, error = std::move(error)] {
        if (auto *listener = std::exchange(state->listener, nullptr)) {
            endWatch(state);
            listener->ended(error);
        }
    });
}

Result<std::unique_ptr<HttpStore>> HttpStore::make(HttpStoreOptions options,
                                                   std::unique_ptr<const StoreProtocol> protocol,
                                                   Executor &executor,
                                                   MetricsRegistry &metrics)
{
    const std::chrono::milliseconds shortest(1);
    if (options.endpoints.empty()) {
        return makeError(ErrorCode::InvalidArgument, "the store needs at least one endpoint");
    }
    if (!options.localAddress.empty() && !isNumericAddress(options.localAddress)) {
        return makeError(ErrorCode::InvalidArgument, "the local address of the store is not an IP address");
    }
    if (options.connectTimeout < shortest || options.requestTimeout < shortest || options.watchIdleTimeout < shortest) {
        return makeError(ErrorCode::InvalidArgument, "the timeouts of the store are at least 1 ms");
    }
    if (options.maxCallsInFlight == 0) {
        return makeError(ErrorCode::InvalidArgument, "the store needs at least one call in flight");
    }
    auto impl = std::make_shared<Impl>(std::move(options), std::move(protocol), executor, metrics);
    impl->start();
    return std::unique_ptr<HttpStore>(new HttpStore(std::move(impl)));
}

HttpStore::HttpStore(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

HttpStore::~HttpStore()
{
    m_impl->stop();
}

void HttpStore::range(RangeRequest request, Callback<RangeResult> callback)
{
    m_impl->readPages(std::move(request), {}, std::move(callback));
}

void HttpStore::commit(Transaction transaction, Callback<TransactionResult> callback)
{
    auto storeCall = m_impl->protocol().commitCall(transaction);
    if (!storeCall) {
        m_impl->fail<TransactionResult>(storeCall.error(), std::move(callback));
        return;
    }
    m_impl->call<TransactionResult>(
        CallKind::Commit,
        *std::move(storeCall),
        [&protocol = m_impl->protocol(), transaction = std::move(transaction)](const StoreReply &reply) {
            return protocol.decodeCommit(transaction, reply);
        },
        std::move(callback));
}

void HttpStore::grantLease(std::chrono::seconds timeToLive, Callback<LeaseGrant> callback)
{
    m_impl->call<LeaseGrant>(
        CallKind::GrantLease,
        m_impl->protocol().grantLeaseCall(timeToLive),
        [&protocol = m_impl->protocol()](const StoreReply &reply) { return protocol.decodeLeaseGrant(reply); },
        std::move(callback));
}

void HttpStore::keepLeaseAlive(LeaseId lease, Callback<LeaseGrant> callback)
{
    m_impl->call<LeaseGrant>(
        CallKind::KeepLeaseAlive,
        m_impl->protocol().keepLeaseAliveCall(lease),
        [&protocol = m_impl->protocol(), lease](const StoreReply &reply) {
            return protocol.decodeKeepAlive(lease, reply);
        },
        std::move(callback));
}

void HttpStore::revokeLease(LeaseId lease, Callback<bool> callback)
{
    m_impl->call<bool>(
        CallKind::RevokeLease,
        m_impl->protocol().revokeLeaseCall(lease),
        [&protocol = m_impl->protocol()](const StoreReply &reply) { return protocol.decodeRevoke(reply); },
        std::move(callback));
}

std::unique_ptr<Watch> HttpStore::watch(WatchRequest request, WatchListener &listener)
{
    return m_impl->watch(request, listener);
}

} // namespace Hornbeam
