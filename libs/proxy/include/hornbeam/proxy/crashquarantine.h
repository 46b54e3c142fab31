#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/timerservice.h>

#include <map>
#include <vector>

namespace Hornbeam {

struct CrashQuarantineOptions
{
    Duration window = std::chrono::seconds(30); ///< Time within which a second crash quarantines a request.
    Duration quarantine = std::chrono::minutes(10); ///< Time for which a quarantined request is refused.
    std::size_t maxSuspects = 10000; ///< Limits the memory use; further requests are not recorded.
};

/**
 * Detects requests that crash the targets which run them, from the crash reports of all nodes. Control thread only.
 *
 * A request is quarantined when two different targets crashed while they ran it, within the window and without a
 * success in between. A crash is also recorded for the other requests that the target ran at that moment. Those are
 * cleared when they succeed on another target, or expire after the window.
 */
class CrashQuarantine
{
public:
    explicit CrashQuarantine(CrashQuarantineOptions options);

    /** Records that @p target crashed while it ran the request. Returns whether the request is quarantined. */
    bool report(const Digest &request, const Endpoint &target, TimePoint now);

    /** Records that a target has run the request successfully. Clears a suspect but does not end a quarantine. */
    void succeeded(const Digest &request);

    /** Quarantines a request that another node has quarantined. The later of two release times applies. */
    void quarantineUntil(const Digest &request, TimePoint releaseAt);

    /** Sorted digests of the requests to refuse at @p now. Removes expired entries. */
    std::vector<Digest> quarantined(TimePoint now);

private:
    struct Crash
    {
        Endpoint target;
        TimePoint at;
    };

    void removeExpired(TimePoint now);

    CrashQuarantineOptions m_options;
    std::map<Digest, Crash> m_suspects; ///< Last crash of each request that has crashed one target.
    std::map<Digest, TimePoint> m_releases; ///< Release times of quarantined requests.
};

} // namespace Hornbeam
