#pragma once

#include <hornbeam/base/timerservice.h>
#include <hornbeam/config/snapshot.h>
#include <hornbeam/store/storegeneration.h>

#include <string>

namespace Hornbeam {

/** Receives the configuration versions and the state of a ConfigSource. */
class ConfigSourceListener
{
public:
    virtual ~ConfigSourceListener() = default;

    /** The node's current configuration; the source applies deltas to it and reuses its pieces. */
    virtual SnapshotPtr currentSnapshot() const = 0;

    virtual void receivedSnapshot(const SnapshotPtr &snapshot) = 0;

    /** The store was read successfully or reported a change; @p version is the newest version that it has. */
    virtual void receivedStoreVersion(ConfigVersion version) = 0;

    /** Called when the store becomes reachable or unreachable. */
    virtual void storeReachable(bool reachable) = 0;

    /** The store was restored from an older copy between two reads that found these generations. */
    virtual void storeRestored(StoreGeneration earlier, StoreGeneration current) = 0;

    /** A watch ended because the store no longer has the changes to report; the store is read again. */
    virtual void storeHistoryLost(const Error &error) = 0;

    /** The store has an invalid configuration; the current one stays in effect. */
    virtual void configurationRefused(const Error &error) = 0;
};

/** Reads a node's configuration from a store. Control thread only. */
class ConfigSource
{
public:
    virtual ~ConfigSource() = default;

    /** Reads the newest version after a random delay of up to @p spread, which distributes the reads of many nodes. */
    virtual void start(Duration spread) = 0;

    /** Starts or stops watching the store for new versions. */
    virtual void setWatching(bool watching) = 0;

    /** Ends the retries of a node that does not watch the store, once it receives its configuration from peers. */
    virtual void stopReading() = 0;

    virtual bool watching() const = 0;
    virtual bool reachable() const = 0;
};

} // namespace Hornbeam
