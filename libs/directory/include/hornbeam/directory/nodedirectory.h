#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/store/keyvaluestore.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

/** Why a node writes its entry. */
enum class RegistrationReason {
    Start,
    LeaseExpired,
    EntryLost, ///< The store no longer has the entry that the node has written.
};

/** Parameters of the registration of this node and of the discovery of others. */
struct NodeDirectoryOptions
{
    Endpoint address; ///< Address at which other nodes reach this one.
    std::string prefix = "hornbeamring/nodes/"; ///< Prefix of the keys in the store.
    std::chrono::seconds timeToLive{60}; ///< Maximum time for which a stopped node stays listed.
    Duration renewPeriod = std::chrono::seconds(15); ///< Interval of lease renewals, at which a lost lease is replaced.
    Duration refreshPeriod = std::chrono::seconds(5); ///< Interval of reads of the list, which may be stale.
    BackoffOptions retry{.initial = std::chrono::milliseconds(200), .maximum = std::chrono::seconds(2)};
    /** Delays before reads of the node's own entry, which spread the reads of all nodes after a restoration. */
    BackoffOptions entryCheck{.initial = std::chrono::milliseconds(500), .maximum = std::chrono::seconds(2)};
};

/**
 * Registers this node in the store and lists the registered nodes, so that nodes find each other without configured
 * seeds. The list only says which addresses to contact; the membership protocol determines which nodes are alive.
 * A renewed lease does not prove that the node is listed: after a restoration of the store, the entry may be gone and
 * the lease id may belong to another node. Each read of the list therefore looks for the entry; as the list may be
 * stale, the entry itself is read before the node registers again. Control thread only.
 */
class NodeDirectory
{
public:
    /** Called after each successful read with the addresses of all listed nodes except this one. */
    using Listener = std::function<void(const std::vector<Endpoint> &)>;

    /** Called after each write of this node's entry. */
    using RegistrationListener = std::function<void(RegistrationReason)>;

    /** The referenced objects must outlive the directory. */
    NodeDirectory(NodeDirectoryOptions options,
                  KeyValueStore &store,
                  TimerService &timers,
                  Listener listener,
                  RegistrationListener registered);
    ~NodeDirectory();

    /** Registers this node, and reads the list periodically. */
    void start();

    /** Registers again if the store has lost the entry. Call it when the store has been restored from a copy. */
    void checkEntry();

    /** Removes this node's entry, also one whose write is still in flight, and stops all activity. */
    void leave();

private:
    void registerAgain(RegistrationReason reason);
    void grantLease();
    void writeEntry();
    void renewLease();
    void scheduleRenewal(Duration delay);
    void readList();
    void readEntry();
    bool hasOwnEntry(const RangeResult &list) const;
    void reportOtherNodes(const RangeResult &list);
    void retryRegistration();

    const NodeDirectoryOptions m_options;
    KeyValueStore &m_store;
    TimerService &m_timers;
    Listener m_listener;
    RegistrationListener m_registrationListener;
    Backoff m_registrationBackoff;
    Backoff m_readBackoff;
    Backoff m_entryBackoff;
    const std::string m_key; ///< Key of this node's entry.
    LeaseId m_lease = 0; ///< 0 while a lease is to be granted.
    std::optional<StoreGeneration> m_leaseGeneration; ///< Generation of the store that granted the lease, if known.
    std::int64_t m_entryRevision = 0; ///< Revision of the written entry; 0 until it is written.
    bool m_registered = false; ///< The entry is written with a lease of this node.
    std::uint64_t m_registrations = 0; ///< Counts registrations; results for an earlier one are ignored.
    RegistrationReason m_reason = RegistrationReason::Start; ///< Of the current or last registration.
    bool m_firstRead = true; ///< The first read must not be stale: a starting node needs the others immediately.
    bool m_checkingEntry = false;
    TimerHandle m_registrationTimer;
    TimerHandle m_readTimer;
    TimerHandle m_entryTimer;
    std::shared_ptr<bool> m_alive; ///< False after leave() or destruction; callbacks of the store then do nothing.
};

} // namespace Hornbeam
