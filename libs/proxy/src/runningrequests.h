#pragma once

#include <hornbeam/accounts/accountresolver.h>

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

/** A request that starts to run at a target of this host. */
struct RunningRequest
{
    std::string route;
    bool repeated = false; ///< It may have run before, so its nested calls may be repetitions as well.
    std::optional<CallAccount> account{}; ///< Inherited by its nested calls.
    TimePoint deadline{}; ///< End of the request at the target, also if its attempt ends earlier.
};

/** The request that makes a call. */
struct CallerOfCall
{
    CallParent parent = CallParent::None;
    std::optional<CallAccount> account{}; ///< For CallParent::Running.
};

/**
 * The requests that run at the targets of this host, by request id, and their nested calls. The id of a nested call is
 * the id of the request that makes it, a dot and a further part; a call is recognised as nested only while that request
 * runs. The services that a route depends on are derived from the nested calls of its recent requests. Thread-safe.
 */
class RunningRequests
{
public:
    void add(const std::string &id, RunningRequest request);

    /**
     * Removes a request whose attempt has ended. Returns whether one of its nested calls failed. Requests with an
     * account are remembered until their deadlines, because a target may still run them.
     */
    bool remove(const std::string &id, TimePoint now = {});

    /** How the request @p id relates to the requests that run or have run at the targets of this host. */
    CallerOfCall callerOf(std::string_view id, TimePoint now) const;

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
        RunningRequest request;
        std::map<std::string, int> calls; ///< By service.
        bool callFailed = false;
    };

    struct RouteHistory
    {
        double runs = 0; ///< Requests that have ended; halved from time to time, like the calls.
        std::map<std::string, double> calls; ///< By service.
    };

    using RunningMap = std::unordered_multimap<std::string, Running>;

    Running *parentOf(std::string_view id);
    void remember(const std::string &id, TimePoint deadline, TimePoint now);
    void updateHistory(const Running &ended);

    mutable std::mutex m_mutex;
    RunningMap m_running;
    std::map<std::string, RouteHistory, std::less<>> m_history; ///< By name of the route.
    std::unordered_map<std::string, TimePoint>
        m_ended; ///< Deadlines of ended requests by id; expired ones remain a while.
    std::size_t m_purgeSize = 0; ///< Size of m_ended at which expired entries are removed next.
};

} // namespace Hornbeam
