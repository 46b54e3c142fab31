#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/proxy/suspectrequest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace Hornbeam {

/**
 * Requests during which a target crashed: those that this node has seen within the time window, and those that other
 * nodes have reported. Thread-safe.
 */
class CrashSuspects
{
public:
    explicit CrashSuspects(Duration window);

    /** Records that @p target crashed while it ran the request. */
    void add(const Digest &request, const Endpoint &target, TimePoint now);

    /** Replaces the suspects of all nodes. */
    void setReported(const std::vector<SuspectRequest> &suspects);

    /** Removes a request that has succeeded. Returns whether it was a suspect, on this node or as reported. */
    bool remove(const Digest &request);

    /** Targets of any node that crashed while they ran the request, sorted. */
    std::vector<Endpoint> crashedTargets(const Digest &request, TimePoint now);

    /** Whether a target crashed while it ran the request for this node. */
    bool contains(const Digest &request, TimePoint now);

    /**
     * Whether two different targets crashed while they ran the request. Such a request is refused immediately, before
     * the control thread has published its quarantine.
     */
    bool hasCrashedTwoTargets(const Digest &request, TimePoint now);

    /** Whether there may be suspects. Without any, callers need not compute the digest of a request. */
    bool any() const
    {
        return m_any.load(std::memory_order_relaxed);
    }

private:
    struct Crashes
    {
        std::set<Endpoint> targets;
        TimePoint last;
    };

    void removeExpired(TimePoint now);
    void updateAny();

    Duration m_window;
    std::atomic<bool> m_any = false;
    std::mutex m_mutex;
    std::map<Digest, Crashes> m_crashes;
    std::map<Digest, std::vector<Endpoint>> m_reported; ///< Crashed targets of each suspect of all nodes.
};

} // namespace Hornbeam
