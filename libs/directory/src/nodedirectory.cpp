#include <hornbeam/directory/nodedirectory.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace Hornbeam {

namespace {

/**
 * Removes an entry unless it has been written again since. The lease is not revoked instead, because its id may belong
 * to another node after a restoration of the store. If the call fails, the entry expires with its lease.
 */
void removeEntry(KeyValueStore &store, const std::string &key, std::int64_t revision)
{
    Transaction transaction;
    transaction.compares.push_back({.key = key, .field = Compare::Field::ModRevision, .revision = revision});
    transaction.success.push_back(Operation::remove(key));
    store.commit(std::move(transaction), [](const Result<TransactionResult> & /*result*/) {});
}

} // namespace

NodeDirectory::NodeDirectory(NodeDirectoryOptions options,
                             KeyValueStore &store,
                             TimerService &timers,
                             Listener listener,
                             RegistrationListener registered)
    : m_options(std::move(options))
    , m_store(store)
    , m_timers(timers)
    , m_listener(std::move(listener))
    , m_registrationListener(std::move(registered))
    , m_registrationBackoff(m_options.retry)
    , m_readBackoff(m_options.retry)
    , m_entryBackoff(m_options.entryCheck)
    , m_key(m_options.prefix + m_options.address.toString())
    , m_alive(std::make_shared<bool>(true))
{
}

NodeDirectory::~NodeDirectory()
{
    *m_alive = false;
}

void NodeDirectory::start()
{
    grantLease();
    readList();
}

void NodeDirectory::leave()
{
    m_registrationTimer.reset();
    m_readTimer.reset();
    m_entryTimer.reset();
    *m_alive = false;
    if (m_entryRevision != 0) {
        removeEntry(m_store, m_key, m_entryRevision);
    }
}

void NodeDirectory::registerAgain(RegistrationReason reason)
{
    ++m_registrations;
    m_entryRevision = 0;
    m_registered = false;
    m_reason = reason;
    m_registrationTimer.reset();
    m_lease = 0;
    grantLease();
}

void NodeDirectory::grantLease()
{
    m_store.grantLease(m_options.timeToLive, [this, alive = m_alive](const Result<LeaseGrant> &grant) {
        if (!*alive) {
            return;
        }
        if (!grant) {
            retryRegistration();
            return;
        }
        m_lease = grant->id;
        m_leaseGeneration = grant->generation;
        writeEntry();
    });
}

void NodeDirectory::writeEntry()
{
    Transaction transaction;
    transaction.success.push_back(Operation::put(m_key, m_options.address.toString(), m_lease));
    const auto written =
        [this, alive = m_alive, &store = m_store, key = m_key](const Result<TransactionResult> &result) {
            if (!*alive) {
                if (result) {
                    removeEntry(store, key, result->revision);
                }
                return;
            }
            // The outcome of a failed write may be unknown; writing the entry again is idempotent.
            if (!result) {
                if (result.error().code() == ErrorCode::NotFound) {
                    m_lease = 0;
                }
                retryRegistration();
                return;
            }
            m_entryRevision = result->revision;
            if (isRestoration(m_leaseGeneration, result->generation)) {
                // The lease may belong to another node, whose renewals would keep the entry of this one.
                m_lease = 0;
                retryRegistration();
                return;
            }
            m_registered = true;
            m_registrationBackoff.reset();
            scheduleRenewal(m_options.renewPeriod);
            m_registrationListener(m_reason);
        };
    m_store.commit(std::move(transaction), written);
}

void NodeDirectory::renewLease()
{
    const auto renewed = [this, alive = m_alive, registration = m_registrations](const Result<LeaseGrant> &grant) {
        if (!*alive || registration != m_registrations) {
            return;
        }
        if (!grant && grant.error().code() == ErrorCode::NotFound) {
            // The lease has expired and the store has removed the entry with it, so the node registers again.
            registerAgain(RegistrationReason::LeaseExpired);
        } else if (!grant) {
            scheduleRenewal(m_registrationBackoff.next());
        } else {
            m_registrationBackoff.reset();
            scheduleRenewal(m_options.renewPeriod);
        }
    };
    m_store.keepLeaseAlive(m_lease, renewed);
}

void NodeDirectory::retryRegistration()
{
    m_registrationTimer = m_timers.once(m_registrationBackoff.next(), [this] {
        if (m_lease == 0) {
            grantLease();
        } else {
            writeEntry();
        }
    });
}

void NodeDirectory::scheduleRenewal(Duration delay)
{
    m_registrationTimer = m_timers.once(delay, [this] { renewLease(); });
}

void NodeDirectory::readList()
{
    // Only a read that is sent after the entry was written can have the entry.
    const auto registration = m_registered ? std::optional(m_registrations) : std::nullopt;
    const RangeRequest request{.key = m_options.prefix, .prefix = true, .mayBeStale = !m_firstRead};
    m_store.range(request, [this, alive = m_alive, registration](const Result<RangeResult> &result) {
        if (!*alive) {
            return;
        }
        if (!result) {
            m_readTimer = m_timers.once(m_readBackoff.next(), [this] { readList(); });
            return;
        }
        m_readBackoff.reset();
        m_firstRead = false;
        if (registration == m_registrations && !hasOwnEntry(*result)) {
            checkEntry();
        }
        m_readTimer = m_timers.once(m_options.refreshPeriod, [this] { readList(); });
        reportOtherNodes(*result);
    });
}

void NodeDirectory::checkEntry()
{
    if (*m_alive && !std::exchange(m_checkingEntry, true)) {
        m_entryTimer = m_timers.once(m_entryBackoff.next(), [this] { readEntry(); });
    }
}

void NodeDirectory::readEntry()
{
    if (!m_registered) {
        m_checkingEntry = false; // A registration is in progress.
        return;
    }
    m_store.range({.key = m_key},
                  [this, alive = m_alive, registration = m_registrations](const Result<RangeResult> &result) {
                      if (!*alive) {
                          return;
                      }
                      m_checkingEntry = false;
                      if (registration != m_registrations) {
                          return;
                      }
                      if (!result) {
                          checkEntry();
                          return;
                      }
                      m_entryBackoff.reset();
                      if (!hasOwnEntry(*result)) {
                          registerAgain(RegistrationReason::EntryLost);
                      }
                  });
}

bool NodeDirectory::hasOwnEntry(const RangeResult &list) const
{
    return std::any_of(list.entries.begin(), list.entries.end(), [this](const KeyValue &entry) {
        return entry.key == m_key && entry.lease == m_lease;
    });
}

void NodeDirectory::reportOtherNodes(const RangeResult &list)
{
    std::vector<Endpoint> addresses;
    for (const auto &entry : list.entries) {
        // Skips this node's own address, and values that are not addresses: no node of this version wrote them.
        if (const auto address = Endpoint::parse(entry.value); address && *address != m_options.address) {
            addresses.push_back(*address);
        }
    }
    m_listener(addresses);
}

} // namespace Hornbeam
