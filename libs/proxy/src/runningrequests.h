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

/** A service that the requests of a route call while they run. */
struct ServiceDependency
{
    std::string service;
    double callsPerRun = 0;
};

/**
 * The requests that run at the targets of this host, by request id, and their nested calls. The id of a nested call is
 * the id of the request that makes it, a dot and a further part; a call is recognised as nested only while that request
 * runs. The services that a route depends on are derived from the nested calls of its recent requests. Thread-safe.
 */
class RunningRequests
{
public:
    /** @p repeated: the request may have run before, so its nested calls may be repetitions as well. */
    void add(const std::string &id, const std::string &route, bool repeated = false);

    /** Removes a request that has ended. Returns whether one of its nested calls failed. */
    bool remove(const std::string &id);

    /** Whether @p id belongs to a nested call of a request that is running. */
    bool isNestedCall(std::string_view id) const;

    /** Records a nested call to @p service. Returns whether the request that makes it is repeated. */
    bool callStarted(std::string_view id, const std::string &service);

    /** Records that a nested call got no successful response. */
    void callFailed(std::string_view id);

    /** The services that recent requests of @p route have called; empty until enough requests have run. */
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
        double runs = 0; ///< Requests that have ended; halved from time to time, like the calls.
        std::map<std::string, double> calls; ///< By service.
    };

    using RunningMap = std::unordered_multimap<std::string, Running>;

    Running *parentOf(std::string_view id);
    void updateHistory(const Running &ended);

    mutable std::mutex m_mutex;
    RunningMap m_running;
    std::map<std::string, RouteHistory, std::less<>> m_history; ///< By name of the route.
};

} // namespace Hornbeam
