#pragma once

#include "transfer.h"

#include <hornbeam/base/metrics.h>
#include <hornbeam/store/httpstore.h>
#include <hornbeam/store/storeprotocol.h>

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace Hornbeam {

/** Decides the timeout of a transfer and how it uses connections. */
enum class TransferKind {
    Call, ///< Limited by the request timeout.
    RepeatableCall, ///< As Call; may be sent again if a pooled connection turns out to be closed.
    Poll, ///< Times out when nothing is received for the watch idle timeout.
    Stream, ///< As Poll, on a new connection.
};

/**
 * Runs the HTTP transfers of a store on an I/O thread, and switches to the next endpoint after a failed transfer.
 * Submitted commands and the callbacks of transfers run on the I/O thread; only they may call begin() and cancel().
 */
class TransferLoop
{
public:
    using FinishedCallback = std::function<void(TransferResult)>;

    /**
     * Keeps a reference to @p options, which must outlive the loop. The results of the transfers have the value of the
     * response header @p generationHeader, unless the name is empty.
     */
    TransferLoop(const HttpStoreOptions &options, const std::string &generationHeader, MetricsRegistry &metrics);
    ~TransferLoop();
    TransferLoop(const TransferLoop &) = delete;
    TransferLoop &operator=(const TransferLoop &) = delete;

    void start();

    /** Ends the I/O thread. The callbacks of transfers that are still running are not called. */
    void stop();

    /** Runs @p command on the I/O thread. May be called from any thread. */
    void submit(std::function<void()> command);

    /** Runs @p command on the I/O thread at @p time or later; dropped when the loop stops. I/O thread only. */
    void submitAt(TimePoint time, std::function<void()> command);

    /** Starts a transfer. No running transfer may have the same @p id. I/O thread only. */
    Transfer &begin(std::uint64_t id, TransferKind kind, StoreCall storeCall, FinishedCallback finished);

    /** Cancels a transfer if it is running; its callback is not called. I/O thread only. */
    void cancel(std::uint64_t id);

private:
    struct Running
    {
        TransferKind kind = TransferKind::Call;
        std::unique_ptr<Transfer> transfer;
        FinishedCallback finished;
        std::uint64_t bytesReceived = 0; ///< Bytes of the transfer that the metric already includes.
        bool sentCounted = false; ///< Whether the metric includes the bytes of the request.
    };

    void run();
    void runCommands();
    void runDelayedCommands();
    int pollTimeout() const;
    void finishCompleted();
    void timeOutIdleWatches();
    void finish(std::uint64_t id, CURLcode code);
    void countBytes(Running &running);
    void handleTransferFailure();
    TransferOptions transferOptions(TransferKind kind, StoreCall storeCall) const;

    const HttpStoreOptions &m_options;
    std::string m_generationHeader; ///< In lower case.
    Counter &m_bytesSent;
    Counter &m_bytesReceived;
    CURLM *m_multi;
    std::map<std::uint64_t, Running> m_running;
    std::multimap<TimePoint, std::function<void()>> m_delayed; ///< Commands by their time.
    std::size_t m_endpoint = 0;
    TimePoint m_lastFailure;

    std::mutex m_mutex;
    std::vector<std::function<void()>> m_commands;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Hornbeam
