#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/timerservice.h>

#include <atomic>
#include <map>
#include <mutex>
#include <set>

namespace Hornbeam {

/** The requests that this node has seen crash a target within the window. Safe from any thread. */
class CrashSuspects
{
public:
    explicit CrashSuspects(Duration window);

    /** Records that @p target crashed while it ran the request. */
    void add(const Digest &request, const Endpoint &target, TimePoint now);

    /** Forgets a request that has succeeded; returns whether it was a suspect. */
    bool remove(const Digest &request);

    bool contains(const Digest &request, TimePoint now);

    /**
     * Whether the request has crashed two different targets. It is refused from that moment on, without waiting for the
     * control thread to publish the quarantine.
     */
    bool isCulprit(const Digest &request, TimePoint now);

    /** Whether there may be suspects; saves computing digests as long as nothing crashes. */
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

    void forgetExpired(TimePoint now);

    Duration m_window;
    std::atomic<bool> m_any = false;
    std::mutex m_mutex;
    std::map<Digest, Crashes> m_crashes;
};

} // namespace Hornbeam
