#pragma once

#include <hornbeam/config/delta.h>
#include <hornbeam/config/snapshot.h>

#include <functional>
#include <string>
#include <vector>

namespace Hornbeam {

class MetricsRegistry;

/** Result of applying a version. */
enum class ApplyResult {
    Applied,
    AlreadyCurrent, ///< The version is applied already, with the same content.
    Older, ///< The version is lower than the applied one; ignored and counted.
    WrongBase, ///< The base of the delta is not the applied version; a snapshot has to be fetched.
    ConflictingContent, ///< The version is applied already, with different content; rejected and counted.
    Invalid, ///< The validation failed; rejected as a whole and counted.
};

/** Holds the applied configuration of the node. Its version only increases. Control thread only. */
class SnapshotHolder
{
public:
    using Listener = std::function<void(const SnapshotPtr &)>;

    explicit SnapshotHolder(MetricsRegistry &metrics);

    /** Returns the applied configuration; initially the empty one with version 0. */
    const SnapshotPtr &current() const
    {
        return m_current;
    }

    ApplyResult apply(const SnapshotPtr &snapshot);
    ApplyResult apply(const Delta &delta);

    /** Counts a version that could not be decoded or validated. @p reason is part of lastRejection(). */
    void recordRejection(ConfigVersion version, const std::string &reason);

    /** Returns a description of the last rejection, for diagnostics; empty if there was none. */
    const std::string &lastRejection() const
    {
        return m_lastRejection;
    }

    /** Calls @p listener after a version was applied. */
    void subscribe(Listener listener);

private:
    MetricsRegistry &m_metrics;
    SnapshotPtr m_current;
    std::string m_lastRejection;
    std::vector<Listener> m_listeners;
};

} // namespace Hornbeam
