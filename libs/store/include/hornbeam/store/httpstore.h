#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/store/keyvaluestore.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Hornbeam {

class Executor;
class MetricsRegistry;
class StoreProtocol;

struct HttpStoreOptions
{
    std::vector<Endpoint> endpoints; ///< At least one; a failure moves on to the next one.
    std::string localAddress{}; ///< Numeric source address of the connections; empty lets the system choose.
    std::chrono::milliseconds connectTimeout{500}; ///< 1 ms or more.
    std::chrono::milliseconds requestTimeout{2000}; ///< Bound of a call, connecting included. 1 ms or more.
    /**
     * A watch without any message for this time ends with Unavailable, since its connection may be silent. The store's
     * progress interval should be well below it; otherwise an idle watch is restarted once per timeout.
     */
    std::chrono::milliseconds watchIdleTimeout{6000};
    std::uint32_t maxCallsInFlight = 64; ///< Further calls are refused with Overloaded; watches do not count.
};

/**
 * The platform's store over HTTP, in the words of a StoreProtocol. One I/O thread runs all transfers.
 * Functions may be called from any thread; callbacks and listeners run through the executor. Destroying the store, on
 * the executor's thread, drops the callbacks that have not run yet. A write is never sent twice.
 */
class HttpStore : public KeyValueStore
{
public:
    /** Starts the I/O thread. InvalidArgument for options out of range. Connects with the first call. */
    static Result<std::unique_ptr<HttpStore>> make(HttpStoreOptions options,
                                                   std::unique_ptr<const StoreProtocol> protocol,
                                                   Executor &executor,
                                                   MetricsRegistry &metrics);

    ~HttpStore() override;

    void range(RangeRequest request, Callback<RangeResult> callback) override;
    void commit(Transaction transaction, Callback<TransactionResult> callback) override;
    void grantLease(std::chrono::seconds timeToLive, Callback<LeaseGrant> callback) override;
    void keepLeaseAlive(LeaseId lease, Callback<LeaseGrant> callback) override;
    void revokeLease(LeaseId lease, Callback<bool> callback) override;
    [[nodiscard]] std::unique_ptr<Watch> watch(WatchRequest request, WatchListener &listener) override;

private:
    class Impl;
    explicit HttpStore(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> m_impl;
};

} // namespace Hornbeam
