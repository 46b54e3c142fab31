#pragma once

#include "faultinjector.h"
#include "soakchecker.h"

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Hornbeam {

struct FaultSoakOptions
{
    std::uint64_t seed = 1; ///< Seed of the random faults.
    std::chrono::seconds duration{15}; ///< Time during which faults are started.
    int nodesPerZone = 2; ///< Nodes in each of the three zones.
};

/**
 * Runs a mesh of real processes under overlapping random faults, while callers send requests through each node and an
 * operator changes the configuration. Reads are idempotent GET requests; bookings are non-idempotent POST requests with
 * an Idempotency-Key, some of which are sent again through another node. Checks these guarantees from the responses and
 * the targets' execution counts:
 * - The version in a node's responses to reads never decreases; responses with status 5xx are ignored.
 * - A booking is executed at most once.
 * - A booking is not executed if every response to it has the outcome "not-run".
 * - A booking with a response of status 200 was executed; checked only if no target was killed, which loses its counts.
 * - A node responds to each request during which its process has no fault.
 * - After the faults, every node serves the newest confirmed version and bookings again, and a new change is confirmed
 *   and served by every node, each within a time limit.
 */
class FaultSoak
{
public:
    /** Starts the processes and applies a first configuration. */
    static Result<std::unique_ptr<FaultSoak>> make(FaultSoakOptions options);

    /** Runs the soak and returns descriptions of the violated guarantees. */
    std::vector<std::string> run();

    /** One line with the numbers of reads and bookings, and the newest confirmed version. */
    std::string summary() const
    {
        return m_checker.summary();
    }

    /** Keeps the log files of the processes and returns their directory. */
    std::string keepLogs();

private:
    FaultSoak(FaultSoakOptions options, std::unique_ptr<Mesh> mesh);

    bool prepare();
    void injectFaults();
    void sendReads(int node);
    void sendBookings(int node);
    void changeConfiguration();
    Result<HttpResponse> callNode(int node, const HttpRequest &request);
    void checkRecovery();
    bool applyChangeWithin(std::chrono::milliseconds timeout);

    FaultSoakOptions m_options;
    std::unique_ptr<Mesh> m_mesh;
    FaultInjector m_faults;
    SoakChecker m_checker;
    std::atomic<bool> m_stopped = false;
    int m_changes = 0;
};

} // namespace Hornbeam
