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
 * Runs a mesh of real processes under overlapping random faults, while callers send reads and bookings through each
 * node and an operator changes the configuration. Checks these guarantees from the responses and the targets' counts:
 * the version that a node serves never decreases, a booking is executed at most once, a booking refused as "not-run"
 * was not executed, a node that is running responds to each request, and after the faults every node serves the newest
 * version and bookings again within a time limit.
 */
class FaultSoak
{
public:
    /** Starts the processes and applies a first configuration. */
    static Result<std::unique_ptr<FaultSoak>> make(FaultSoakOptions options);

    /** Runs the soak and returns descriptions of the violated guarantees. */
    std::vector<std::string> run();

    /** One line with the numbers of reads and bookings. */
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
