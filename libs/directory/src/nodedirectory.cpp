#include <hornbeam/directory/nodedirectory.h>

namespace Hornbeam {

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
    *m_alive = false;
    if (m_lease != 0) {
        // Revoking the lease removes the entry. If the call fails, the lease expires after the time to live.
        m_store.revokeLease(m_lease, [](const Result<bool> & /*revoked*/) {});
    }
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
        writeEntry();
    });
}

void NodeDirectory::writeEntry()
{
    const auto address = m_options.address.toString();
    Transaction transaction;
    transaction.success.push_back(Operation::put(m_options.prefix + address, address, m_lease));
    m_store.commit(std::move(transaction), [this, alive = m_alive](const Result<TransactionResult> &result) {
        if (!*alive) {
            return;
        }
        // The outcome of a failed write may be unknown; writing the entry again is idempotent.
        if (!result) {
            retryRegistration();
            return;
        }
        m_registrationBackoff.reset();
        m_registrationTimer = m_timers.once(m_options.renewPeriod, [this] { renewLease(); });
        m_registrationListener(m_reason);
    });
}

void NodeDirectory::renewLease()
{
    m_store.keepLeaseAlive(m_lease, [this, alive = m_alive](const Result<LeaseGrant> &grant) {
        if (!*alive) {
            return;
        }
        if (!grant && grant.error().code() == ErrorCode::NotFound) {
            // The lease has expired and the store has removed the entry with it, so the node registers again.
            m_reason = RegistrationReason::LeaseExpired;
            grantLease();
        } else if (!grant) {
            m_registrationTimer = m_timers.once(m_registrationBackoff.next(), [this] { renewLease(); });
        } else {
            m_registrationBackoff.reset();
            m_registrationTimer = m_timers.once(m_options.renewPeriod, [this] { renewLease(); });
        }
    });
}

void NodeDirectory::retryRegistration()
{
    m_registrationTimer = m_timers.once(m_registrationBackoff.next(), [this] { grantLease(); });
}

void NodeDirectory::readList()
{
    const RangeRequest request{.key = m_options.prefix, .prefix = true, .mayBeStale = !m_firstRead};
    m_store.range(request, [this, alive = m_alive](const Result<RangeResult> &result) {
        if (!*alive) {
            return;
        }
        if (!result) {
            m_readTimer = m_timers.once(m_readBackoff.next(), [this] { readList(); });
            return;
        }
        m_readBackoff.reset();
        m_firstRead = false;
        m_readTimer = m_timers.once(m_options.refreshPeriod, [this] { readList(); });
        reportOtherNodes(*result);
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
