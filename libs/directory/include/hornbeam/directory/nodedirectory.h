#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/store/keyvaluestore.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Hornbeam {

/** Where and how often a node enters itself and looks for others. */
struct NodeDirectoryOptions
{
    Endpoint address; ///< Under which other nodes reach this one.
    std::string prefix = "hornbeamring/nodes/"; ///< Of the keys in the store.
    std::chrono::seconds timeToLive{60}; ///< A node that is gone is listed for this time at most.
    Duration renewPeriod = std::chrono::seconds(15); ///< A lease that the store lost is replaced within this time.
    Duration refreshPeriod = std::chrono::seconds(5); ///< Between two reads of the list, which may be stale.
    BackoffOptions retry{.initial = std::chrono::milliseconds(200), .maximum = std::chrono::seconds(2)};
};

/**
 * The list of nodes in the store, through which nodes find each other when no seeds are set. The list only tells whom
 * to contact; who is alive is the membership's to decide. Control thread only.
 */
class NodeDirectory
{
public:
    /** Receives the addresses of all listed nodes after each successful read. */
    using Listener = std::function<void(const std::vector<Endpoint> &)>;

    /** The referenced objects outlive the directory. */
    NodeDirectory(NodeDirectoryOptions options, KeyValueStore &store, TimerService &timers, Listener listener);
    ~NodeDirectory();

    /** Enters this node, reads the list and goes on with both. */
    void start();

    /** Removes this node's entry and stops. */
    void leave();

private:
    void grantLease();
    void enter();
    void renew();
    void read();
    void received(const RangeResult &entries);
    void retryEntry();

    const NodeDirectoryOptions m_options;
    KeyValueStore &m_store;
    TimerService &m_timers;
    Listener m_listener;
    Backoff m_entryBackoff;
    Backoff m_readBackoff;
    LeaseId m_lease = 0;
    bool m_firstRead = true; ///< The first list must not be stale: a node that starts needs the others at once.
    TimerHandle m_entryTimer;
    TimerHandle m_readTimer;
    std::shared_ptr<bool> m_alive; ///< Lets answers that arrive after the destruction be ignored.
};

} // namespace Hornbeam
