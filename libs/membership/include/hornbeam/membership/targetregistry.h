#pragma once

#include <hornbeam/base/error.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/membership/departure.h>
#include <hornbeam/membership/target.h>

#include <functional>
#include <map>
#include <vector>

namespace Hornbeam {

/** Targets that have announced themselves to this node. Control thread only. */
class TargetRegistry
{
public:
    /** Called after each change with the result of targets(). */
    using Listener = std::function<void(const std::vector<Target> &)>;

    /** Called after each change of departures(), except for a restoration or an expiry. */
    using DepartureListener = std::function<void()>;

    static constexpr std::size_t maxTargets = 8;

    /** Maximum of the estimated encoded size of all targets: a member with its targets has to fit into one datagram. */
    static constexpr std::size_t maxEncodedBytes = 640;

    /** @p timers must outlive the registry. */
    TargetRegistry(TimerService &timers, Listener listener);
    ~TargetRegistry();

    /**
     * Adds, changes or refreshes a target, which expires after @p timeToLive (1 ms..1 h) without another announcement.
     * An instance number of 0 keeps the number of the known target or assigns a new one. @p sequence orders the
     * announcements of one target instance; 0 for a target that does not number them.
     * Fails with InvalidArgument if a value is out of range, and with Overloaded if there would be more than maxTargets
     * targets or their estimated encoded size would exceed maxEncodedBytes. Fails with Conflict if the announcement is
     * stale, because a later one for the same address, or a withdrawal, was received before it, or because it has no
     * instance number while the target at the address has announced one. A failed announcement has no effect.
     */
    Result<Target> announce(Target target, Duration timeToLive, std::uint64_t sequence = 0);

    /** Removes the target at @p address. NotFound when it is unknown. */
    Result<Target> withdraw(const Endpoint &address);

    /**
     * Removes the target with that name. NotFound when it is unknown. For the next 10 minutes, announcements with that
     * name are rejected as stale when their instance number is not higher than that of the removed target or, if the
     * target was unknown, than @p lastInstance. Fails with Conflict and keeps the target if its instance number is
     * higher than @p lastInstance, because the withdrawal is then one of an earlier run; 0 removes any run.
     */
    Result<Target> withdraw(const std::string &name, std::uint64_t lastInstance = 0);

    /**
     * Suspends a target until its next announcement: targets() omits it. Called when its address refuses connections,
     * which means that its process has ended. Ignored when the target at the address has another instance number.
     */
    void suspend(const Endpoint &address, std::uint64_t instance);

    /** Returns the targets that are not suspended, sorted by address; none between hideTargets() and restore(). */
    std::vector<Target> targets() const;

    /**
     * Hides all targets until restore(). Call it if an earlier process of this node may have acknowledged departures
     * that are still being read.
     */
    void hideTargets();

    /**
     * Adds departures that an earlier process of this node has recorded, removes targets whose announcements they make
     * outdated, and lists the others. May be called more than once.
     */
    void restore(const std::vector<Departure> &departures);

    /** Returns the departures of the last 10 minutes, sorted by name; at most 256. */
    std::vector<Departure> departures() const;

    void subscribeDepartures(DepartureListener listener);

private:
    struct Entry
    {
        Target target;
        TimePoint expiry;
        std::uint64_t sequence = 0;
        bool numbered = false; ///< The target has announced its instance number; otherwise this node assigned it.
        bool suspended = false;

        /** True as well for the next announcement of the same name if only one of the two is numbered. */
        bool isSameInstance(const Target &announced) const;
    };

    /** Keeps a departure for as long as an announcement may be delayed. */
    struct Tombstone
    {
        Departure departure;
        TimePoint expiry;
    };

    bool isStale(const Target &target, std::uint64_t sequence) const;
    void recordDeparture(const Departure &departure);
    bool addTombstone(const Departure &departure);
    Result<Target> validate(const Target &target, Duration timeToLive) const;
    std::uint64_t nextInstance();
    void expire();
    void scheduleExpiry();

    TimerService &m_timers;
    Listener m_listener;
    std::map<Endpoint, Entry> m_entries;
    std::map<std::string, Tombstone, std::less<>> m_tombstones; ///< By target name.
    std::uint64_t m_lastInstance;
    std::vector<DepartureListener> m_departureListeners;
    bool m_hidden = false; ///< Between hideTargets() and restore().
    TimerHandle m_expiryTimer;
};

} // namespace Hornbeam
