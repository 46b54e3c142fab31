#pragma once

#include <hornbeam/config/configrepository.h>
#include <hornbeam/config/storeconfigsource.h>

namespace Hornbeam {

/** Reads the configuration head once at start and watches it while the node is a store watcher. */
class StoreSync : public StoreConfigSource
{
public:
    /** The referenced objects outlive the sync. */
    StoreSync(KeyValueStore &store, TimerService &timers, ConfigSourceListener &listener);

private:
    void readStore() override;
    void changed(const std::vector<KeyValue> &changes) override;

    void receivedHead(const Result<ConfigHead> &head);
    void load(const ConfigHead &head);
    void loadIfNewer(const ConfigHead &head);

    ConfigRepository m_repository;
};

} // namespace Hornbeam
