#include <hornbeam/base/executor.h>
#include <hornbeam/base/metrics.h>
#include <hornbeam/store/httpstore.h>
#include <hornbeam/store/storeprotocol.h>

#include "transfer.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace Hornbeam {

namespace {

/** Idle connections are closed after this time, well below the idle timeout of common servers. */
constexpr std::chrono::seconds maxIdleAge(30);

/**
 * After a failed transfer, new connections are used for this time. Other pooled connections may be as silent as the
 * one that failed, and each would cost a call its whole timeout.
 */
constexpr std::chrono::seconds freshConnectionTime(3);

/** Pooled connections; one call in flight uses one connection. */
constexpr long maxPooledConnections = 8;

/** Longest wait of the I/O thread; also the resolution of the watch idle timeout. */
constexpr int pollMilliseconds = 250;

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
    std::uint64_t transfer = 0;
    bool stopped = false; ///< I/O thread only: no further poll starts.
};

using WatchStatePtr = std::shared_ptr<WatchState>;

/** The error of a transfer that did not complete. */
Error toError(const TransferResult &result, bool write)
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

void initCurl()
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_ALL);
    static_cast<void>(initialised);
}

} // namespace

class HttpStore::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(HttpStoreOptions options,
         std::unique_ptr<const StoreProtocol> protocol,
         Executor &executor,
         MetricsRegistry &metrics);
    ~Impl();

    void start();
    void stop();

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

    /** Reads the pages of a range one after the other; @p read holds the entries of the earlier ones. */
    void readPages(RangeRequest request, RangeResult read, Callback<RangeResult> done);

    std::unique_ptr<Watch> watch(const WatchRequest &request, WatchListener &listener);
    void endWatch(const WatchStatePtr &state);

private:
    class WatchHandle;

    struct Running
    {
        CallKind kind = CallKind::Range;
        std::unique_ptr<Transfer> transfer;
        std::function<void(TransferResult)> finished;
        std::uint64_t bytesReceived = 0; ///< Part of the transfer's bytes that the counter already includes.
        bool sentCounted = false;
    };

    using Finished = std::function<void(TransferResult)>;

    void submit(std::function<void()> command);
    void post(std::function<void()> work);
    void run();
    void runCommands();
    void begin(std::uint64_t id, CallKind kind, StoreCall storeCall, Finished finished);
    void beginWatch(std::uint64_t id, const WatchRequest &request, const WatchStatePtr &state);
    void beginStream(std::uint64_t id, const WatchRequest &request, const WatchStatePtr &state);
    void beginPoll(std::uint64_t id, const WatchRequest &request, const WatchStatePtr &state);
    void pollFinished(const TransferResult &result, const WatchRequest &request, const WatchStatePtr &state);
    void watchBytes(const WatchStatePtr &state, std::string &buffer, std::string_view bytes);
    void watchLine(const WatchStatePtr &state, std::string_view line);

    /** Tells the listener; false when the watch has ended. */
    bool deliver(const WatchStatePtr &state, Result<WatchMessage> message);
    void postEnded(const WatchStatePtr &state, Error error);
    void finishCompleted();
    void finishIdleWatches();
    void finish(std::uint64_t id, CURLcode code);
    void countBytes(Running &running);
    void noteFailure();
    TransferOptions transferOptions(CallKind kind, StoreCall storeCall) const;

    HttpStoreOptions m_options;
    const std::unique_ptr<const StoreProtocol> m_protocol;
    Executor &m_executor;
    std::array<CallMetrics, callKinds> m_metrics;
    Counter &m_bytesSent;
    Counter &m_bytesReceived;
    std::atomic<std::uint32_t> m_inFlight = 0;
    std::atomic<std::uint64_t> m_nextTransfer = 1;

    CURLM *m_multi;
    std::map<std::uint64_t, Running> m_running;
    std::size_t m_endpoint = 0;
    TimePoint m_lastFailure;

    std::mutex m_mutex;
    std::vector<std::function<void()>> m_commands;
    bool m_stopping = false;
    std::thread m_thread;
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
    , m_bytesSent(metrics.counter("hornbeam_store_bytes_sent_total", "Bytes sent to the store, HTTP framing included."))
    , m_bytesReceived(metrics.counter("hornbeam_store_bytes_received_total",
                                      "Bytes received from the store, HTTP framing included."))
    , m_multi(curl_multi_init())
{
    for (std::size_t i = 0; i < callKinds; ++i) {
        const std::vector<MetricLabel> labels = {{.name = "call", .value = callNames[i]}};
        m_metrics[i] = {
            .calls = &metrics.counter("hornbeam_store_calls_total", "Calls to the store.", labels),
            .failures = &metrics.counter("hornbeam_store_failures_total", "Calls to the store that failed.", labels),
            .latency = &metrics.latency("hornbeam_store_call_seconds", "Time until the store answered.", labels)};
    }
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxPooledConnections);
}

HttpStore::Impl::~Impl()
{
    for (const auto &[id, running] : m_running) {
        curl_multi_remove_handle(m_multi, running.transfer->handle());
    }
    m_running.clear();
    curl_multi_cleanup(m_multi);
}

void HttpStore::Impl::start()
{
    m_thread = std::thread([this] { run(); });
}

void HttpStore::Impl::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    curl_multi_wakeup(m_multi);
    m_thread.join();
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
        Result<T> result = tl::make_unexpected(toError(transfer, write));
        if (transfer.code == CURLE_OK) {
            result = decode({.status = transfer.status, .body = transfer.body});
            if (!result && transfer.status == 200 && result.error().code() == ErrorCode::InvalidArgument) {
                const auto code = write ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable;
                result = makeError(code, "unreadable answer of the store: " + result.error().message());
            }
        }
        if (!result) {
            metrics.failures->add();
        }
        post([done, result = std::move(result)]() mutable { done(std::move(result)); });
    };
    const auto id = m_nextTransfer.fetch_add(1);
    submit([this, id, kind, storeCall = std::move(storeCall), finished = std::move(finished)]() mutable {
        begin(id, kind, std::move(storeCall), std::move(finished));
    });
}

template <typename T>
void HttpStore::Impl::fail(Error error, Callback<T> done)
{
    post([done = std::move(done), error = std::move(error)] { done(tl::make_unexpected(error)); });
}

void HttpStore::Impl::readPages(RangeRequest request, RangeResult read, Callback<RangeResult> done)
{
    const auto storeCall = m_protocol->rangeCall(request);
    call<RangeResult>(
        CallKind::Range,
        storeCall,
        [this, request](const StoreReply &reply) { return m_protocol->decodeRange(request, reply); },
        [this, request, read = std::move(read), done = std::move(done)](Result<RangeResult> page) mutable {
            if (!page) {
                done(std::move(page));
                return;
            }
            // Pages are no snapshot: a watch must start at the first page's revision to miss no change.
            read.revision = read.entries.empty() ? page->revision : std::min(read.revision, page->revision);
            std::move(page->entries.begin(), page->entries.end(), std::back_inserter(read.entries));
            if (!page->more || read.entries.empty()) {
                done(std::move(read));
                return;
            }
            request.after = read.entries.back().key;
            readPages(std::move(request), std::move(read), std::move(done));
        });
}

std::unique_ptr<Watch> HttpStore::Impl::watch(const WatchRequest &request, WatchListener &listener)
{
    m_metrics[static_cast<std::size_t>(CallKind::Watch)].calls->add();
    const auto state = std::make_shared<WatchState>();
    state->listener = &listener;
    state->transfer = m_nextTransfer.fetch_add(1);
    submit([this, state, request] { beginWatch(state->transfer, request, state); });
    return std::make_unique<WatchHandle>(weak_from_this(), state);
}

void HttpStore::Impl::endWatch(const WatchStatePtr &state)
{
    submit([this, state] {
        state->stopped = true;
        if (const auto it = m_running.find(state->transfer); it != m_running.end()) {
            countBytes(it->second);
            curl_multi_remove_handle(m_multi, it->second.transfer->handle());
            m_running.erase(it);
        }
    });
}

void HttpStore::Impl::submit(std::function<void()> command)
{
    {
        const std::lock_guard lock(m_mutex);
        m_commands.push_back(std::move(command));
    }
    curl_multi_wakeup(m_multi);
}

void HttpStore::Impl::post(std::function<void()> work)
{
    m_executor.post([alive = weak_from_this(), work = std::move(work)] {
        if (!alive.expired()) {
            work();
        }
    });
}

void HttpStore::Impl::run()
{
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_stopping) {
                return;
            }
        }
        runCommands();
        int stillRunning = 0;
        curl_multi_perform(m_multi, &stillRunning);
        finishCompleted();
        finishIdleWatches();
        for (auto &[id, running] : m_running) {
            countBytes(running);
        }
        curl_multi_poll(m_multi, nullptr, 0, pollMilliseconds, nullptr);
    }
}

void HttpStore::Impl::runCommands()
{
    std::vector<std::function<void()>> commands;
    {
        const std::lock_guard lock(m_mutex);
        commands.swap(m_commands);
    }
    for (const auto &command : commands) {
        command();
    }
}

void HttpStore::Impl::begin(std::uint64_t id, CallKind kind, StoreCall storeCall, Finished finished)
{
    Running running;
    running.kind = kind;
    running.transfer = std::make_unique<Transfer>(transferOptions(kind, std::move(storeCall)));
    running.finished = std::move(finished);
    curl_multi_add_handle(m_multi, running.transfer->handle());
    m_running.emplace(id, std::move(running));
}

void HttpStore::Impl::beginWatch(std::uint64_t id, const WatchRequest &request, const WatchStatePtr &state)
{
    if (m_protocol->watchStyle() == StoreProtocol::WatchStyle::Stream) {
        beginStream(id, request, state);
    } else {
        beginPoll(id, request, state);
    }
}

void HttpStore::Impl::beginStream(std::uint64_t id, const WatchRequest &request, const WatchStatePtr &state)
{
    begin(id, CallKind::Watch, m_protocol->watchCall(request), [this, state](const TransferResult &result) {
        if (result.code != CURLE_OK) {
            postEnded(state, toError(result, false));
        } else if (result.status == 200) {
            postEnded(state, Error(ErrorCode::Unavailable, "the store closed the watch"));
        } else {
            postEnded(state, m_protocol->decodeError({.status = result.status, .body = result.body}));
        }
    });
    auto *transfer = m_running.at(id).transfer.get();
    transfer->setBodySink([this, state, transfer, buffer = std::string()](std::string_view bytes) mutable {
        if (transfer->status() == 200) {
            watchBytes(state, buffer, bytes);
        }
    });
}

void HttpStore::Impl::beginPoll(std::uint64_t id, const WatchRequest &request, const WatchStatePtr &state)
{
    begin(id, CallKind::Watch, m_protocol->watchCall(request), [this, request, state](const TransferResult &result) {
        pollFinished(result, request, state);
    });
}

void HttpStore::Impl::pollFinished(const TransferResult &result,
                                   const WatchRequest &request,
                                   const WatchStatePtr &state)
{
    if (result.code != CURLE_OK) {
        postEnded(state, toError(result, false));
        return;
    }
    auto message = m_protocol->decodeWatch({.status = result.status, .body = result.body});
    const auto revision = message ? message->revision : 0;
    if (!deliver(state, std::move(message))) {
        return;
    }
    auto next = request;
    next.startRevision = std::max(request.startRevision, revision + 1);
    // The handle of the watch names the running transfer, so the next poll takes over its number. The transfer that
    // has just ended is removed when this function returns.
    submit([this, id = state->transfer, next, state] {
        if (!state->stopped) {
            beginPoll(id, next, state);
        }
    });
}

void HttpStore::Impl::watchBytes(const WatchStatePtr &state, std::string &buffer, std::string_view bytes)
{
    buffer.append(bytes);
    std::size_t begin = 0;
    for (auto end = buffer.find('\n'); end != std::string::npos; end = buffer.find('\n', begin)) {
        watchLine(state, std::string_view(buffer).substr(begin, end - begin));
        begin = end + 1;
    }
    buffer.erase(0, begin);
}

void HttpStore::Impl::watchLine(const WatchStatePtr &state, std::string_view line)
{
    deliver(state, m_protocol->decodeWatch({.status = 200, .body = line}));
}

bool HttpStore::Impl::deliver(const WatchStatePtr &state, Result<WatchMessage> message)
{
    if (!message) {
        postEnded(state, Error(ErrorCode::Unavailable, message.error().message()));
        return false;
    }
    if (message->cancelled) {
        const auto code = message->compactRevision != 0 ? ErrorCode::Conflict : ErrorCode::Unavailable;
        postEnded(state, Error(code, "the store cancelled the watch: " + message->cancelReason));
        return false;
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

void HttpStore::Impl::postEnded(const WatchStatePtr &state, Error error)
{
    m_metrics[static_cast<std::size_t>(CallKind::Watch)].failures->add();
    post([this, state, error = std::move(error)] {
        if (auto *listener = std::exchange(state->listener, nullptr)) {
            endWatch(state);
            listener->ended(error);
        }
    });
}

void HttpStore::Impl::finishCompleted()
{
    int queued = 0;
    while (const auto *message = curl_multi_info_read(m_multi, &queued)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const auto it = std::find_if(m_running.begin(), m_running.end(), [message](const auto &entry) {
            return entry.second.transfer->handle() == message->easy_handle;
        });
        if (it != m_running.end()) {
            finish(it->first, message->data.result);
        }
    }
}

void HttpStore::Impl::finishIdleWatches()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::uint64_t> idle;
    for (const auto &[id, running] : m_running) {
        if (running.kind == CallKind::Watch && now - running.transfer->lastActivity() >= m_options.watchIdleTimeout) {
            idle.push_back(id);
        }
    }
    for (const auto id : idle) {
        finish(id, CURLE_OPERATION_TIMEDOUT);
    }
}

void HttpStore::Impl::finish(std::uint64_t id, CURLcode code)
{
    auto node = m_running.extract(id);
    auto &running = node.mapped();
    curl_multi_remove_handle(m_multi, running.transfer->handle());
    countBytes(running);
    if (!running.sentCounted) {
        m_bytesSent.add(running.transfer->bytesSent());
    }
    if (code != CURLE_OK) {
        noteFailure();
    }
    running.finished(running.transfer->finish(code));
}

// Watches run for a long time, so bytes are counted while they arrive. The request is counted with the first byte of
// the response, or when the transfer ends.
void HttpStore::Impl::countBytes(Running &running)
{
    const auto received = running.transfer->bytesReceived();
    m_bytesReceived.add(received - running.bytesReceived);
    running.bytesReceived = received;
    if (received > 0 && !running.sentCounted) {
        running.sentCounted = true;
        m_bytesSent.add(running.transfer->bytesSent());
    }
}

void HttpStore::Impl::noteFailure()
{
    m_lastFailure = std::chrono::steady_clock::now();
    m_endpoint = (m_endpoint + 1) % m_options.endpoints.size();
}

TransferOptions HttpStore::Impl::transferOptions(CallKind kind, StoreCall storeCall) const
{
    const bool isStream = kind == CallKind::Watch && m_protocol->watchStyle() == StoreProtocol::WatchStyle::Stream;
    const auto sinceFailure =
        std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - m_lastFailure);
    // Connections last used before the failure stay excluded after the first seconds, by their idle age.
    const auto ageBound = std::clamp(sinceFailure - std::chrono::seconds(1), std::chrono::seconds(1), maxIdleAge);
    return {.url = "http://" + m_options.endpoints[m_endpoint].toString() + storeCall.path,
            .method = std::move(storeCall.method),
            .body = std::move(storeCall.body),
            .localAddress = m_options.localAddress,
            .connectTimeout = m_options.connectTimeout,
            .timeout = kind == CallKind::Watch ? std::chrono::milliseconds(0) : m_options.requestTimeout,
            .freshConnection = isStream || sinceFailure < freshConnectionTime,
            .maxIdleAge = ageBound,
            .repeatable = kind == CallKind::Range};
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
    initCurl();
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
