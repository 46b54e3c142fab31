#pragma once

#include <hornbeam/config/configrepository.h>
#include <hornbeam/config/storeconfigsource.h>

namespace Hornbeam {

/**
 * Reads the versions that a ConfigRepository keeps in the store: the head at startup and, while the node is a store
 * watcher, each change.
 */
class RepositorySource : public StoreConfigSource
{
public:
    /** The referenced objects must outlive the source. */
    RepositorySource(KeyValueStore &store, TimerService &timers, ConfigSourceListener &listener);

private:
    void readStore() override;
    void changed(const std::vector<KeyValue> &changes) override;

    void receivedHead(const Result<ConfigHead> &head);
    void load(const ConfigHead &head);
    void loadIfNewer(const ConfigHead &head);

    ConfigRepository m_repository;
};

} // namespace Hornbeam
