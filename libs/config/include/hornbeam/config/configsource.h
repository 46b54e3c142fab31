#pragma once

#include <hornbeam/base/timerservice.h>
#include <hornbeam/config/snapshot.h>

#include <string>

namespace Hornbeam {

/** Receives the versions that the store reports. */
class ConfigSourceListener
{
public:
    virtual ~ConfigSourceListener() = default;

    /** The configuration that the node has now; deltas and pieces are read relative to it. */
    virtual SnapshotPtr currentSnapshot() const = 0;

    virtual void receivedSnapshot(const SnapshotPtr &snapshot) = 0;

    /** The store was read successfully; @p version is the newest one that it has. */
    virtual void storeAnswered(ConfigVersion version) = 0;

    /** The store became reachable or unreachable; called at changes only. */
    virtual void storeReachable(bool reachable) = 0;

    /** The store has a configuration that cannot be used; the one in effect stays. */
    virtual void configurationRefused(const Error &error) = 0;
};

/** Where a node gets the operators' configuration from. Control thread only. */
class ConfigSource
{
public:
    virtual ~ConfigSource() = default;

    /** Reads the newest version after a random part of @p spread, which keeps a herd of starting nodes apart. */
    virtual void start(Duration spread) = 0;

    /** Starts or stops watching. */
    virtual void setWatching(bool watching) = 0;

    /** Ends the attempts of a node that does not watch: it has its configuration from peers. */
    virtual void stopReading() = 0;

    virtual bool watching() const = 0;
    virtual bool reachable() const = 0;
};

} // namespace Hornbeam
