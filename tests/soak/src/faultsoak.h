#pragma once

#include "disruptor.h"
#include "soakcaller.h"
#include "soakchecker.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Hornbeam {

enum class SoakMode {
    Faults, ///< Random faults, see FaultInjector.
    PlannedWork, ///< Planned stops and restarts without faults, see PlannedWork.
};

struct FaultSoakOptions
{
    std::uint64_t seed = 1; ///< Seed of the disruptions and of the sizes of the downloads.
    std::chrono::seconds duration{15}; ///< Time during which disruptions are started.
    int nodesPerZone = 2; ///< Nodes in each of the three zones, each with a target. 1..80.
    SoakMode mode = SoakMode::Faults;
};

/**
 * Runs a mesh of real processes under overlapping random disruptions, while callers send requests to each node and an
 * operator changes the configuration. Some callers use a connection until the node ends it, others open one for each
 * request. Reads are idempotent GET requests; bookings are non-idempotent POST requests with an Idempotency-Key, some
 * of which are sent again through another node. During planned work, callers also request downloads with deadlines; the
 * nodes have slow links, on which downloads queue. With an odd seed, nodes then send requests to the targets of other
 * hosts through the nodes there.
 *
 * Checks these guarantees from what the callers receive and from the targets' execution counts:
 * - The version in the responses to a caller's reads never decreases; responses with status 5xx are ignored.
 * - A booking is executed at most once.
 * - A request is not executed if every response to it has the outcome "not-run".
 * - A request with a response of status 200 was executed; checked only if no target was killed, which loses its counts.
 * - A response of status 200 is the whole response to its request.
 * - A node responds completely to each request that it accepts, see NodeDisruptions::excuse(). A download may be
 *   truncated after its deadline. A request that a stopping node has not read is not executed.
 * - A node exits within its drain bound during planned work, see PlannedWork.
 * - After the disruptions, every node serves the newest confirmed version and bookings again, and a new change is
 *   confirmed and served by every node, each within a time limit.
 */
class FaultSoak
{
public:
    /** Starts the processes and applies a first configuration. */
    static Result<std::unique_ptr<FaultSoak>> make(FaultSoakOptions options);

    /** Runs the soak; prints and returns descriptions of the violated guarantees. */
    std::vector<std::string> run();

    /** One line with the numbers of requests and the newest confirmed version. */
    std::string summary() const
    {
        return m_checker.summary();
    }

    /** Keeps the log files of the processes and returns their directory. */
    std::string keepLogs();

private:
    FaultSoak(FaultSoakOptions options, std::unique_ptr<Mesh> mesh);

    bool prepare();
    void runDisruptions();
    void sendReads(int node, bool keepConnection);
    void sendBookings(int node);
    void sendDownloads(int node, int caller);
    void changeConfiguration();
    void checkRecovery();
    bool applyChangeWithin(std::chrono::milliseconds timeout);
    /** A pause of a caller, longer in a large mesh, so that the load of the machine stays the same. */
    void pause(std::chrono::milliseconds duration) const;

    FaultSoakOptions m_options;
    std::unique_ptr<Mesh> m_mesh;
    NodeDisruptions m_disruptions;
    std::unique_ptr<Disruptor> m_disruptor;
    SoakChecker m_checker;
    std::atomic<bool> m_stopped = false;
    int m_changes = 0;
};

} // namespace Hornbeam
