#include <hornbeam/directory/nodedirectory.h>

namespace Hornbeam {

NodeDirectory::NodeDirectory(NodeDirectoryOptions options,
                             KeyValueStore &store,
                             TimerService &timers,
                             Listener listener)
    : m_options(std::move(options))
    , m_store(store)
    , m_timers(timers)
    , m_listener(std::move(listener))
    , m_entryBackoff(m_options.retry)
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
    read();
}

void NodeDirectory::leave()
{
    m_entryTimer.reset();
    m_readTimer.reset();
    *m_alive = false;
    if (m_lease != 0) {
        // The entry goes with its lease; without an answer, the time to live removes it.
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
            retryEntry();
            return;
        }
        m_lease = grant->id;
        enter();
    });
}

void NodeDirectory::enter()
{
    const auto address = m_options.address.toString();
    Transaction transaction;
    transaction.success.push_back(Operation::put(m_options.prefix + address, address, m_lease));
    m_store.commit(std::move(transaction), [this, alive = m_alive](const Result<TransactionResult> &result) {
        if (!*alive) {
            return;
        }
        // An entry whose write may have been lost is written again, which does no harm when it was not.
        if (!result) {
            retryEntry();
            return;
        }
        m_entryBackoff.reset();
        m_entryTimer = m_timers.once(m_options.renewPeriod, [this] { renew(); });
    });
}

void NodeDirectory::renew()
{
    m_store.keepLeaseAlive(m_lease, [this, alive = m_alive](const Result<LeaseGrant> &grant) {
        if (!*alive) {
            return;
        }
        if (!grant && grant.error().code() == ErrorCode::NotFound) {
            grantLease();
        } else if (!grant) {
            m_entryTimer = m_timers.once(m_entryBackoff.next(), [this] { renew(); });
        } else {
            m_entryBackoff.reset();
            m_entryTimer = m_timers.once(m_options.renewPeriod, [this] { renew(); });
        }
    });
}

void NodeDirectory::retryEntry()
{
    m_entryTimer = m_timers.once(m_entryBackoff.next(), [this] { grantLease(); });
}

void NodeDirectory::read()
{
    const RangeRequest request{.key = m_options.prefix, .prefix = true, .mayBeStale = !m_firstRead};
    m_store.range(request, [this, alive = m_alive](const Result<RangeResult> &result) {
        if (!*alive) {
            return;
        }
        if (!result) {
            m_readTimer = m_timers.once(m_readBackoff.next(), [this] { read(); });
            return;
        }
        m_readBackoff.reset();
        m_firstRead = false;
        m_readTimer = m_timers.once(m_options.refreshPeriod, [this] { read(); });
        received(*result);
    });
}

void NodeDirectory::received(const RangeResult &entries)
{
    std::vector<Endpoint> addresses;
    for (const auto &entry : entries.entries) {
        // A value that is no address was not written by a node of this version and names nobody to contact.
        if (const auto address = Endpoint::parse(entry.value); address && *address != m_options.address) {
            addresses.push_back(*address);
        }
    }
    m_listener(addresses);
}

} // namespace Hornbeam
