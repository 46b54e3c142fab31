#pragma once

#include <hornbeam/base/timerservice.h>
#include <hornbeam/rollouts/runningversion.h>

#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

/**
 * The version of one service that requests use when no running roll-out says otherwise. The version that the store has
 * a record of comes first; without a record, it is the one whose oldest target started first. Load: a node that learns
 * of the targets one after the other, in any order, after it and others have restarted; versions that start alongside
 * without an order; targets that are not known for seconds because the nodes on their hosts restart or are cut off. Not
 * thread-safe.
 */
class VersionInUse
{
public:
    /** Targets announce themselves several times in this period. After it, only those of hosts that are down are
     * unknown. */
    static constexpr Duration settlingTime = std::chrono::seconds(5);

    /**
     * The time that restarted hosts have until they serve again. Targets of the version in use that are not known for
     * longer are taken to have stopped, and the oldest other version is used.
     */
    static constexpr Duration absenceLimit = std::chrono::seconds(15);

    /** Sets the version of which the store has a record; empty for none. */
    void setRecorded(const std::string &version, TimePoint now);

    /** Sets the version of the newest order, which is chosen last. */
    void setOrdered(const std::string &version, TimePoint now);

    /** Replaces the running versions. */
    void setRunning(std::vector<RunningVersion> versions, TimePoint now);

    /** Makes the choices that are due at @p now. */
    void update(TimePoint now);

    /** When update() is to be called again; std::nullopt if only other events change the version. */
    std::optional<TimePoint> nextUpdate() const;

    /** Empty if no version may be used. It can be a version of which no target is known at the moment. */
    const std::string &version() const
    {
        return m_version;
    }

    /** Whether version() is recorded, or was chosen when the targets of the service were known. */
    bool isConfirmed() const;

    /** Whether a target of the version is known. */
    bool runs(const std::string &version) const;

    /** Whether a target of the version accepts requests. */
    bool serves(const std::string &version) const;

    bool hasTargets() const
    {
        return !m_versions.empty();
    }

private:
    std::string oldest() const;
    bool isAbsent(const std::string &version) const;

    std::string m_recorded;
    std::string m_chosen; ///< Used without a record.
    std::string m_ordered;
    std::string m_version;
    std::vector<RunningVersion> m_versions;
    std::optional<TimePoint> m_firstSeen; ///< When a target of the service was known first.
    std::optional<TimePoint> m_absentSince; ///< Since when only targets of other versions are known.
    bool m_settled = false;
};

} // namespace Hornbeam
