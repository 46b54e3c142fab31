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
    std::vector<Endpoint> endpoints; ///< At least one. After a failed transfer, the next endpoint is used.
    std::string localAddress{}; ///< Numeric source address of the connections; empty lets the system choose.
    std::chrono::milliseconds connectTimeout{500}; ///< At least 1 ms.
    /** Limit for one call including connecting, and for each page of a paged range. At least 1 ms. */
    std::chrono::milliseconds requestTimeout{2000};
    /**
     * A watch that receives nothing for this time ends with Unavailable, because its connection may be dead. The
     * interval of the store's progress notifications should be well below it; otherwise an idle watch is restarted once
     * per timeout.
     */
    std::chrono::milliseconds watchIdleTimeout{6000};
    /**
     * Shortest time between the starts of two polls of a watch whose protocol polls. Changes that follow each other
     * faster arrive together, so that a series of changes does not cost a call for each change and node.
     */
    std::chrono::milliseconds minPollInterval{0};
    std::uint32_t maxCallsInFlight = 64; ///< Further calls fail with Overloaded. Watches are not counted.
};

/**
 * A key-value store that is accessed over HTTP; a StoreProtocol defines the requests and responses. One I/O thread runs
 * all transfers. Functions may be called from any thread; callbacks and listeners run on the executor. The store is
 * destroyed on the executor's thread; callbacks that have not run by then are dropped. A write is never sent twice.
 */
class HttpStore : public KeyValueStore
{
public:
    /** Starts the I/O thread; the first call connects. InvalidArgument for options out of range. */
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
