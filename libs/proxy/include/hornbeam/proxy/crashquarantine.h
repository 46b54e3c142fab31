#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/proxy/suspectrequest.h>

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace Hornbeam {

struct CrashQuarantineOptions
{
    Duration window = std::chrono::minutes(10); ///< Time after its last crash for which a request is suspected.
    Duration quarantine = std::chrono::minutes(10); ///< Time for which a quarantined request is refused.
    std::size_t maxSuspects = 10000; ///< Limits the memory use; further requests are not recorded.
};

/** Reports that a target crashed while it ran a request. */
struct CrashReport
{
    Digest request;
    Endpoint target;
    std::uint64_t event = 0; ///< Distinguishes the crashes of the target during this request.

    friend auto operator<=>(const CrashReport &, const CrashReport &) = default;
};

/**
 * Detects requests that crash the targets which run them, from the crash reports of all nodes. Control thread only.
 *
 * A request is quarantined when two different targets crashed while they ran it, or one target three times, within the
 * window and without a success in between. One target that crashes may be at fault itself, so a suspect is sent to
 * another target if there is one, see SuspectRequest; the third crash decides if there is none. A crash is also
 * recorded for the other requests that the target ran at that moment. Those are cleared when they succeed on any
 * target, or expire after the window. Reports and refutations may arrive in any order: a refutation names the crashes
 * that it refutes.
 */
class CrashQuarantine
{
public:
    explicit CrashQuarantine(CrashQuarantineOptions options);

    /** Records a crash, unless it is known or refuted. Returns whether the request is quarantined. */
    bool report(const CrashReport &report, TimePoint now);

    /**
     * Records that the request has succeeded since this crash, which therefore does not count. Ends a quarantine that
     * the other crashes of the request do not justify: a request that was running at the time of the quarantine may
     * still succeed.
     */
    void refute(const CrashReport &report, TimePoint now);

    /** Refutes all known crashes of a request that has succeeded, and returns them. */
    std::vector<CrashReport> succeeded(const Digest &request);

    /** Quarantines a request that another node has quarantined. The later of two release times applies. */
    void quarantineUntil(const Digest &request, TimePoint releaseAt);

    /** Sorted digests of the requests to refuse at @p now. Removes expired entries. */
    std::vector<Digest> quarantined(TimePoint now);

    /** Requests with crashes that are not refuted, sorted by digest. Removes expired entries. */
    std::vector<SuspectRequest> suspects(TimePoint now);

private:
    struct Crash
    {
        Endpoint target;
        std::uint64_t event = 0;
        bool refuted = false;
    };

    struct Record
    {
        std::vector<Crash> crashes;
        TimePoint last; ///< Time of the last report or refutation.
        TimePoint releaseAt; ///< End of the quarantine; the minimum if the request is not quarantined.

        bool isQuarantined() const
        {
            return releaseAt != TimePoint();
        }
    };

    static bool isJustified(const Record &record);
    Record *findOrAdd(const Digest &request, TimePoint now);
    void removeExpired(TimePoint now);

    CrashQuarantineOptions m_options;
    std::map<Digest, Record> m_records;
};

} // namespace Hornbeam
