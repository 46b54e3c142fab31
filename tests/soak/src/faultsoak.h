#pragma once

#include "faultinjector.h"
#include "soakledger.h"

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Hornbeam {

struct FaultSoakOptions
{
    std::uint64_t seed = 1; ///< Of the faults and of what the operator does.
    std::chrono::seconds duration{15}; ///< Time in which faults begin.
    int nodesPerZone = 2; ///< In three zones.
};

/**
 * Runs a mesh of real processes under a series of overlapping faults while callers send reads and bookings through each
 * node and an operator changes the configuration. Checks what callers and targets see: versions never go back, bookings
 * run at most once, refusals are true, each request to a running node is answered, and after the faults every node
 * serves the newest version within the bounds.
 */
class FaultSoak
{
public:
    /** Starts the processes. */
    static Result<std::unique_ptr<FaultSoak>> make(FaultSoakOptions options);

    /** Plays the faults; returns the promises that were broken. */
    std::vector<std::string> run();

    std::string summary() const
    {
        return m_ledger.summary();
    }

    /** Keeps the logs of the processes; returns their directory. */
    std::string keepLogs();

private:
    FaultSoak(FaultSoakOptions options, std::unique_ptr<Mesh> mesh);

    bool prepare();
    void play();
    void sendReads(int node);
    void sendBookings(int node);
    void changeConfiguration();
    Result<HttpResponse> callNode(int node, const HttpRequest &request);
    void recover();
    bool changeWithin(std::chrono::milliseconds timeout);

    FaultSoakOptions m_options;
    std::unique_ptr<Mesh> m_mesh;
    FaultInjector m_faults;
    SoakLedger m_ledger;
    std::atomic<bool> m_stopped = false;
    int m_changes = 0;
};

} // namespace Hornbeam
