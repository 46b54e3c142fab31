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
     * An instance number of 0 keeps that of the known target, or assigns a new one. @p sequence orders the
     * announcements of one start of a target; 0 for a target that does not count them.
     * InvalidArgument for values out of range, Overloaded when there are too many targets. Conflict for an announcement
     * that a later one of the same address, or a withdrawal, has overtaken; it changes nothing.
     */
    Result<Target> announce(Target target, Duration timeToLive, std::uint64_t sequence = 0);

    /** Removes a target. NotFound when it is unknown. */
    Result<Target> withdraw(const Endpoint &address);

    /**
     * Removes the target of that name. NotFound when it is unknown. In both cases, announcements of a start with a
     * number up to the known one, or up to @p lastInstance, no longer bring the name back.
     */
    Result<Target> withdraw(const std::string &name, std::uint64_t lastInstance = 0);

    /**
     * Hides a target whose host refuses connections until its next announcement, because its process has ended.
     * Ignored when @p instance is no longer the one at the address.
     */
    void suspend(const Endpoint &address, std::uint64_t instance);

    /** All targets, sorted by address. */
    std::vector<Target> targets() const;

private:
    struct Entry
    {
        Target target;
        TimePoint expiry;
        std::uint64_t sequence = 0;
        bool suspended = false;
    };

    /** The last start of a named target that ended, so that a late announcement does not bring it back. */
    struct Tombstone
    {
        std::uint64_t instance = 0;
        TimePoint forgetAt;
    };

    bool isOvertaken(const Target &target, std::uint64_t sequence) const;
    void bury(const std::string &name, std::uint64_t instance);
    Result<Target> validate(const Target &target, Duration timeToLive) const;
    std::uint64_t nextInstance();
    void expire();
    void scheduleExpiry();

    TimerService &m_timers;
    Listener m_listener;
    std::map<Endpoint, Entry> m_entries;
    std::map<std::string, Tombstone, std::less<>> m_tombstones; ///< By the name of the target.
    std::uint64_t m_lastInstance;
    TimerHandle m_expiryTimer;
};

} // namespace Hornbeam
