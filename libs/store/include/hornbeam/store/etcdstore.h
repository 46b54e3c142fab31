#pragma once

#include <hornbeam/store/httpstore.h>

namespace Hornbeam {

using EtcdStoreOptions = HttpStoreOptions;

/** Creates stores that use the JSON gateway of etcd v3. */
class EtcdStore
{
public:
    /** Returns the same errors as HttpStore::make(). */
    static Result<std::unique_ptr<HttpStore>> make(EtcdStoreOptions options,
                                                   Executor &executor,
                                                   MetricsRegistry &metrics);
};

} // namespace Hornbeam
