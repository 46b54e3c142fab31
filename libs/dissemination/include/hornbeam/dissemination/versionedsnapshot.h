#pragma once

#include <hornbeam/config/delta.h>
#include <hornbeam/config/snapshot.h>

#include <functional>
#include <string>
#include <vector>

namespace Hornbeam {

class MetricsRegistry;

/** What became of an offered version. */
enum class ApplyResult {
    Applied,
    AlreadyCurrent, ///< The same version and content.
    Older, ///< Lower than the applied version; ignored and counted.
    WrongBase, ///< The delta's base is not the current version; fetch a snapshot.
    ConflictingContent, ///< The same version with other content; refused and counted.
    Invalid, ///< Failed validation; refused whole and counted.
};

/** Holds the node's configuration, which only moves to higher versions. Control thread only. */
class VersionedSnapshot
{
public:
    using Listener = std::function<void(const SnapshotPtr &)>;

    explicit VersionedSnapshot(MetricsRegistry &metrics);

    /** The applied configuration; version 0 at first. */
    const SnapshotPtr &current() const
    {
        return m_current;
    }

    ApplyResult apply(const SnapshotPtr &snapshot);
    ApplyResult apply(const Delta &delta);

    /** Counts a version that could not be decoded or validated; @p reason is shown in the dump. */
    void recordRejection(ConfigVersion version, const std::string &reason);

    /** The most recent refusal, or an empty string. */
    const std::string &lastRejection() const
    {
        return m_lastRejection;
    }

    /** Calls @p listener after each applied version. */
    void subscribe(Listener listener);

private:
    MetricsRegistry &m_metrics;
    SnapshotPtr m_current;
    std::string m_lastRejection;
    std::vector<Listener> m_listeners;
};

} // namespace Hornbeam
