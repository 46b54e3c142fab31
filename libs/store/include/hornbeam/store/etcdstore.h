#pragma once

#include <hornbeam/store/httpstore.h>

namespace Hornbeam {

using EtcdStoreOptions = HttpStoreOptions;

/** Makes stores that speak the etcd v3 JSON gateway. */
class EtcdStore
{
public:
    /** As HttpStore::make(). */
    static Result<std::unique_ptr<HttpStore>> make(EtcdStoreOptions options,
                                                   Executor &executor,
                                                   MetricsRegistry &metrics);
};

} // namespace Hornbeam
