#include "transferloop.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace Hornbeam {

namespace {

/** Connections that were idle for longer are not reused. Well below the idle timeout of common servers. */
constexpr std::chrono::seconds maxIdleAge(30);

/**
 * For this time after a failed transfer, each transfer opens a new connection. Other pooled connections may be dead as
 * well, and each of them would make a call wait for its whole timeout.
 */
constexpr std::chrono::seconds freshConnectionTime(3);

/** Maximum number of connections kept for reuse. Each call in flight uses a connection of its own. */
constexpr long maxPooledConnections = 8;

/** Longest wait of the I/O thread, and thus the resolution of the watch idle timeout. */
constexpr int pollMilliseconds = 250;

bool isWatch(TransferKind kind)
{
    return kind == TransferKind::Poll || kind == TransferKind::Stream;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

void initCurl()
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_ALL);
    static_cast<void>(initialised);
}

} // namespace

TransferLoop::TransferLoop(const HttpStoreOptions &options,
                           const std::string &generationHeader,
                           MetricsRegistry &metrics)
    : m_options(options)
    , m_generationHeader(lowerCase(generationHeader))
    , m_bytesSent(metrics.counter("hornbeam_store_bytes_sent_total", "Bytes sent to the store, HTTP framing included."))
    , m_bytesReceived(metrics.counter("hornbeam_store_bytes_received_total",
                                      "Bytes received from the store, HTTP framing included."))
{
    initCurl();
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxPooledConnections);
}

TransferLoop::~TransferLoop()
{
    for (const auto &[id, running] : m_running) {
        curl_multi_remove_handle(m_multi, running.transfer->handle());
    }
    m_running.clear();
    curl_multi_cleanup(m_multi);
}

void TransferLoop::start()
{
    m_thread = std::thread([this] { run(); });
}

void TransferLoop::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    curl_multi_wakeup(m_multi);
    m_thread.join();
}

void TransferLoop::submit(std::function<void()> command)
{
    {
        const std::lock_guard lock(m_mutex);
        m_commands.push_back(std::move(command));
    }
    curl_multi_wakeup(m_multi);
}

void TransferLoop::submitAt(TimePoint time, std::function<void()> command)
{
    m_delayed.emplace(time, std::move(command));
}

Transfer &TransferLoop::begin(std::uint64_t id, TransferKind kind, StoreCall storeCall, FinishedCallback finished)
{
    Running running;
    running.kind = kind;
    running.transfer = std::make_unique<Transfer>(transferOptions(kind, std::move(storeCall)));
    running.finished = std::move(finished);
    curl_multi_add_handle(m_multi, running.transfer->handle());
    return *m_running.emplace(id, std::move(running)).first->second.transfer;
}

void TransferLoop::cancel(std::uint64_t id)
{
    if (const auto it = m_running.find(id); it != m_running.end()) {
        countBytes(it->second);
        curl_multi_remove_handle(m_multi, it->second.transfer->handle());
        m_running.erase(it);
    }
}

void TransferLoop::run()
{
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_stopping) {
                return;
            }
        }
        runCommands();
        runDelayedCommands();
        int stillRunning = 0;
        curl_multi_perform(m_multi, &stillRunning);
        finishCompleted();
        timeOutIdleWatches();
        for (auto &[id, running] : m_running) {
            countBytes(running);
        }
        curl_multi_poll(m_multi, nullptr, 0, pollTimeout(), nullptr);
    }
}

void TransferLoop::runCommands()
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

void TransferLoop::runDelayedCommands()
{
    const auto now = std::chrono::steady_clock::now();
    while (!m_delayed.empty() && m_delayed.begin()->first <= now) {
        const auto command = std::move(m_delayed.extract(m_delayed.begin()).mapped());
        command();
    }
}

int TransferLoop::pollTimeout() const
{
    if (m_delayed.empty()) {
        return pollMilliseconds;
    }
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(m_delayed.begin()->first - std::chrono::steady_clock::now());
    return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, pollMilliseconds));
}

void TransferLoop::finishCompleted()
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

void TransferLoop::timeOutIdleWatches()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::uint64_t> idle;
    for (const auto &[id, running] : m_running) {
        if (isWatch(running.kind) && now - running.transfer->lastActivity() >= m_options.watchIdleTimeout) {
            idle.push_back(id);
        }
    }
    for (const auto id : idle) {
        finish(id, CURLE_OPERATION_TIMEDOUT);
    }
}

void TransferLoop::finish(std::uint64_t id, CURLcode code)
{
    auto node = m_running.extract(id);
    auto &running = node.mapped();
    curl_multi_remove_handle(m_multi, running.transfer->handle());
    countBytes(running);
    if (!running.sentCounted) {
        m_bytesSent.add(running.transfer->bytesSent());
    }
    if (code != CURLE_OK) {
        handleTransferFailure();
    }
    running.finished(running.transfer->finish(code));
}

// Watches run for a long time, so bytes are counted while they arrive. The request is counted with the first byte of
// the response, or when the transfer ends.
void TransferLoop::countBytes(Running &running)
{
    const auto received = running.transfer->bytesReceived();
    m_bytesReceived.add(received - running.bytesReceived);
    running.bytesReceived = received;
    if (received > 0 && !running.sentCounted) {
        running.sentCounted = true;
        m_bytesSent.add(running.transfer->bytesSent());
    }
}

void TransferLoop::handleTransferFailure()
{
    m_lastFailure = std::chrono::steady_clock::now();
    m_endpoint = (m_endpoint + 1) % m_options.endpoints.size();
}

TransferOptions TransferLoop::transferOptions(TransferKind kind, StoreCall storeCall) const
{
    const auto sinceFailure =
        std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - m_lastFailure);
    // After freshConnectionTime, the idle age still excludes the connections that were last used before the failure.
    const auto idleAgeLimit = std::clamp(sinceFailure - std::chrono::seconds(1), std::chrono::seconds(1), maxIdleAge);
    return {.url = "http://" + m_options.endpoints[m_endpoint].toString() + storeCall.path,
            .method = std::move(storeCall.method),
            .body = std::move(storeCall.body),
            .localAddress = m_options.localAddress,
            .generationHeader = m_generationHeader,
            .connectTimeout = m_options.connectTimeout,
            .timeout = isWatch(kind) ? std::chrono::milliseconds(0) : m_options.requestTimeout,
            .freshConnection = kind == TransferKind::Stream || sinceFailure < freshConnectionTime,
            .maxIdleAge = idleAgeLimit,
            .repeatable = kind == TransferKind::RepeatableCall};
}

} // namespace Hornbeam
