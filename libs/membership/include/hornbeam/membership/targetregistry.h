#pragma once

#include <hornbeam/base/error.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/membership/target.h>

#include <functional>
#include <map>
#include <vector>

namespace Hornbeam {

/** The targets that announced themselves to this node. Control thread only. */
class TargetRegistry
{
public:
    /** Receives all targets, sorted by address, after each change. */
    using Listener = std::function<void(const std::vector<Target> &)>;

    static constexpr std::size_t maxTargets = 8;

    /** Bound of the text of all targets together; a member with its targets has to fit into one datagram. */
    static constexpr std::size_t maxTextBytes = 640;

    /** @p timers must outlive the registry. */
    TargetRegistry(TimerService &timers, Listener listener);
    ~TargetRegistry();

    /**
     * Adds, changes or refreshes a target, which expires after @p timeToLive (1 ms..1 h) without another announcement.
     * An instance number of 0 keeps that of the known target, or assigns a new one.
     * InvalidArgument for values out of range, Overloaded when there are too many targets.
     */
    Result<Target> announce(Target target, Duration timeToLive);

    /** Removes a target. NotFound when it is unknown. */
    Result<Target> withdraw(const Endpoint &address);

    /** All targets, sorted by address. */
    std::vector<Target> targets() const;

private:
    struct Entry
    {
        Target target;
        TimePoint expiry;
    };

    Result<Target> validate(const Target &target, Duration timeToLive) const;
    std::uint64_t nextInstance();
    void expire();
    void scheduleExpiry();

    TimerService &m_timers;
    Listener m_listener;
    std::map<Endpoint, Entry> m_entries;
    std::uint64_t m_lastInstance;
    TimerHandle m_expiryTimer;
};

} // namespace Hornbeam
