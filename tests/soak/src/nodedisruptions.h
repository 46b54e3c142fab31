#pragma once

#include <hornbeam/testsupport/persistentclient.h>

#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

enum class DisruptionKind {
    Stop, ///< SIGTERM: a planned stop.
    Kill, ///< SIGKILL.
    Pause, ///< SIGSTOP until SIGCONT.
};

/** Why a node need not have responded to a request. */
enum class Excuse {
    None, ///< The node has to respond.
    PlannedStop, ///< The request was sent too late before the stop of its process; then no target may execute it.
    Fault, ///< The process was killed or paused.
};

/**
 * Records the disruptions of the nodes' processes, of which each node has at most one at a time, and decides which
 * requests a node has to respond to. Thread-safe.
 */
class NodeDisruptions
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit NodeDisruptions(int nodes);

    /**
     * Records a disruption; call it before the signal is sent. @p stopNotice: for a Stop, the time for which the
     * process still accepts connections and reads requests.
     */
    void begin(int node, DisruptionKind kind, std::chrono::milliseconds stopNotice = {});

    /** Records that the process has exited. */
    void exited(int node, TimePoint when);

    /** Records that the process, or the one that replaces it, runs again. */
    void end(int node);

    /**
     * Returns why the caller need not have received a complete response in @p exchange, which is over.
     *
     * A planned stop excuses the node only if the connection was not accepted or if it ended without a byte of a
     * response to a request that was not sent completely before the stop notice had ended. Until then the node reads
     * requests. Later it may close a connection on which it has read nothing.
     */
    Excuse excuse(int node, const HttpExchange &exchange) const;

    /** When the exchange started and ended relative to the planned stop of its process; empty if it was not stopped. */
    std::string describeStop(int node, const HttpExchange &exchange) const;

private:
    struct Disruption
    {
        DisruptionKind kind = DisruptionKind::Stop;
        TimePoint begin;
        TimePoint noticeEnd; ///< Only of a Stop.
        TimePoint exited = TimePoint::max();
        TimePoint end = TimePoint::max();

        bool excuses(const HttpExchange &exchange) const;
    };

    mutable std::mutex m_mutex;
    std::vector<std::vector<Disruption>> m_disruptions; ///< By node, in the order of time.
};

} // namespace Hornbeam
