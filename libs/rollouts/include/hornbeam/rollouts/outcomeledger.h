#pragma once

#include <hornbeam/rollouts/outcomes.h>

#include <atomic>
#include <mutex>
#include <string>

namespace Hornbeam {

/**
 * Counts the results of the requests that the targets of this host have run, for the services with a running roll-out.
 * Thread-safe; a service that is not tracked costs one atomic read.
 */
class OutcomeLedger
{
public:
    /** Further routes are counted together, so that a report fits into a datagram. */
    static constexpr std::size_t maxRoutes = 12;

    /** Starts to count for an order; what was counted for an earlier order of the service is dropped. */
    void track(const std::string &service, std::int64_t order);

    void stopTracking(const std::string &service);

    /** Records a request that a target of this host has run. @p time: at the target. */
    void record(const std::string &service,
                const std::string &version,
                const std::string &route,
                bool failed,
                std::chrono::milliseconds time);

    /** The sums of a tracked service; empty for another. OutcomeReport::elapsed is not set. */
    OutcomeReport report(const std::string &service) const;

private:
    std::atomic<bool> m_active = false;
    mutable std::mutex m_mutex;
    std::map<std::string, OutcomeReport, std::less<>> m_services;
};

} // namespace Hornbeam
