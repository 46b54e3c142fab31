#include "repositorysource.h"

namespace Hornbeam {

namespace {

using namespace std::chrono_literals;

constexpr BackoffOptions retryBackoff = {.initial = 250ms, .maximum = 2s};

} // namespace

RepositorySource::RepositorySource(KeyValueStore &store, TimerService &timers, ConfigSourceListener &listener)
    : StoreConfigSource(store, timers, listener, retryBackoff)
    , m_repository(store)
{
}

void RepositorySource::readStore()
{
    m_repository.readHead([this, alive = alive()](const Result<ConfigHead> &head) {
        if (*alive) {
            receivedHead(head);
        }
    });
}

void RepositorySource::receivedHead(const Result<ConfigHead> &head)
{
    if (!head) {
        readFailed();
        return;
    }
    readSucceeded(head->generation);
    loadIfNewer(*head);
    watchFrom(ConfigRepository::watchPrefix(), head->modRevision + 1);
}

void RepositorySource::loadIfNewer(const ConfigHead &head)
{
    listener().receivedStoreVersion(head.version);
    if (head.version > listener().currentSnapshot()->version()) {
        load(head);
    }
}

void RepositorySource::load(const ConfigHead &head)
{
    const auto known = listener().currentSnapshot();
    m_repository.loadSnapshot(head, known, [this, alive = alive()](const Result<SnapshotPtr> &snapshot) {
        if (!*alive) {
            return;
        }
        if (snapshot) {
            listener().receivedSnapshot(*snapshot);
        } else {
            // Either the store failed or a newer head replaced this one while its pieces were read. Reading the head
            // again handles both.
            readAgain();
        }
    });
}

void RepositorySource::changed(const std::vector<KeyValue> &changes)
{
    const auto update = ConfigRepository::parseChanges(changes);
    if (!update) {
        return;
    }
    for (const auto &delta : update->deltas) {
        // A delta that cannot be applied is skipped: the head of the same update loads the full version.
        if (const auto snapshot = delta.applyTo(*listener().currentSnapshot())) {
            listener().receivedSnapshot(*snapshot);
        }
    }
    if (update->head) {
        loadIfNewer(*update->head);
    }
}

} // namespace Hornbeam
