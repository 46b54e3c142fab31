#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Hornbeam {

/** A service that requests of a route call while they run. */
struct ServiceDependency
{
    std::string service;
    double callsPerRun = 0;
};

/**
 * The requests that run at the targets of this host, by the identifiers that their callers gave them, and the calls
 * that they make. A call has the identifier of the request that makes it, a dot and a part of its own; it is recognised
 * only while that request runs. From the calls of recent requests, the object learns which services a route depends
 * on. Safe from any thread.
 */
class RunningRequests
{
public:
    /** @p repeated: the request may have run before, so its calls are repetitions as well. */
    void add(const std::string &id, const std::string &route, bool repeated = false);

    /** Ends a request; returns whether one of its calls failed. */
    bool remove(const std::string &id);

    /** Whether @p id is that of a call of a request that runs now. */
    bool isCall(std::string_view id) const;

    /** Notes a call of a running request to @p service; returns whether that request is repeated. */
    bool callStarted(std::string_view id, const std::string &service);

    /** Notes that a call got no successful response. */
    void callFailed(std::string_view id);

    /** The services that requests of @p route have called recently. */
    std::vector<ServiceDependency> dependenciesOf(const std::string &route) const;

private:
    struct Running
    {
        std::string route;
        std::map<std::string, int> calls; ///< By service.
        bool repeated = false;
        bool callFailed = false;
    };

    struct RouteHistory
    {
        double runs = 0;
        std::map<std::string, double> calls; ///< By service.
    };

    using RunningMap = std::unordered_multimap<std::string, Running>;

    Running *parentOf(std::string_view id);
    void learn(const Running &ended);

    mutable std::mutex m_mutex;
    RunningMap m_running;
    std::map<std::string, RouteHistory, std::less<>> m_history; ///< By route.
};

} // namespace Hornbeam
