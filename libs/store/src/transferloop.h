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

/** How long a call to the store may run. */
enum class TransferKind {
    Call, ///< Bounded by the request timeout.
    RepeatableCall, ///< The same; it may be sent again when a pooled connection turns out closed.
    Poll, ///< Ends when nothing arrives for the idle timeout of a watch.
    Stream, ///< The same, on a connection of its own.
};

/**
 * Runs the HTTP transfers of a store on a thread of its own and moves on to the next endpoint when one fails.
 * Transfers have numbers, by which they are cancelled. The functions that say so are for the I/O thread, on which
 * submitted commands run.
 */
class TransferLoop
{
public:
    using Finished = std::function<void(TransferResult)>;

    /** @p options are referenced, and outlive the loop. */
    TransferLoop(const HttpStoreOptions &options, MetricsRegistry &metrics);
    ~TransferLoop();
    TransferLoop(const TransferLoop &) = delete;
    TransferLoop &operator=(const TransferLoop &) = delete;

    void start();

    /** Ends the I/O thread; transfers that are running do not finish. */
    void stop();

    /** Runs @p command on the I/O thread. Any thread. */
    void submit(std::function<void()> command);

    /** Begins a transfer under a number that none is running under. I/O thread only. */
    Transfer &begin(std::uint64_t id, TransferKind kind, StoreCall storeCall, Finished finished);

    /** Ends a transfer, if it is running, without a result. I/O thread only. */
    void cancel(std::uint64_t id);

private:
    struct Running
    {
        TransferKind kind = TransferKind::Call;
        std::unique_ptr<Transfer> transfer;
        Finished finished;
        std::uint64_t bytesReceived = 0; ///< Part of the transfer's bytes that the counter already includes.
        bool sentCounted = false;
    };

    void run();
    void runCommands();
    void finishCompleted();
    void finishIdle();
    void finish(std::uint64_t id, CURLcode code);
    void countBytes(Running &running);
    void noteFailure();
    TransferOptions transferOptions(TransferKind kind, StoreCall storeCall) const;

    const HttpStoreOptions &m_options;
    Counter &m_bytesSent;
    Counter &m_bytesReceived;
    CURLM *m_multi;
    std::map<std::uint64_t, Running> m_running;
    std::size_t m_endpoint = 0;
    TimePoint m_lastFailure;

    std::mutex m_mutex;
    std::vector<std::function<void()>> m_commands;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Hornbeam
