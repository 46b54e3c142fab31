#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/timerservice.h>

#include <map>
#include <vector>

namespace Hornbeam {

struct CrashQuarantineOptions
{
    Duration window = std::chrono::seconds(30); ///< How long a crash is remembered against a request.
    Duration quarantine = std::chrono::minutes(10); ///< How long a quarantined request is refused.
    std::size_t maxSuspects = 10000; ///< Bound of the memory; further requests are not recorded.
};

/**
 * Decides which requests crash the targets that execute them. Control thread only.
 *
 * A request is quarantined when two different targets crashed while they ran it, within the window and without a
 * success in between. A target's crash also hits the innocent requests that it ran at that moment; they succeed
 * elsewhere, which clears them, or are forgotten after the window.
 */
class CrashQuarantine
{
public:
    explicit CrashQuarantine(CrashQuarantineOptions options);

    /** Records that @p target crashed while it ran the request. Returns whether the request is now quarantined. */
    bool report(const Digest &request, const Endpoint &target, TimePoint now);

    /** Records that a target has answered the request, which clears a suspicion but not a quarantine. */
    void succeeded(const Digest &request);

    /** Quarantines a request that another node reported; the later release wins. */
    void adopt(const Digest &request, TimePoint releaseAt);

    /** Sorted digests of the requests to refuse at @p now; forgets what has expired. */
    std::vector<Digest> quarantined(TimePoint now);

private:
    struct Crash
    {
        Endpoint target;
        TimePoint at;
    };

    void forgetExpired(TimePoint now);

    CrashQuarantineOptions m_options;
    std::map<Digest, Crash> m_suspects; ///< The most recent crash of each request that has crashed one target.
    std::map<Digest, TimePoint> m_releases; ///< Quarantined requests and when they are released.
};

} // namespace Hornbeam
