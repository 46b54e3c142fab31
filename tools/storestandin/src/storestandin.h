#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/error.h>

#include <chrono>
#include <cstdint>
#include <memory>

namespace asio {
class io_context;
}

namespace Hornbeam {

struct StoreStandinOptions
{
    Endpoint listen{"127.0.0.1", 0}; ///< Port 0 lets the system choose.
    std::uint32_t writesPerSecond = 400; ///< Rate limit of transactions and lease calls.
    std::uint32_t readsPerSecond = 2000; ///< Rate limit of range and watch calls; each open watch lowers it by one.
    std::chrono::milliseconds progressInterval{2000}; ///< Interval of the progress messages of watches.
};

/**
 * Test replacement for the platform's key-value store. Serves the etcd v3 JSON gateway API from an InMemoryStore, with
 * rate limits and injected faults. POST /control changes the faults and the rates, GET /control/stats returns counters;
 * see storestandin.cpp for the fields. Runs on the given context, which must outlive it and be run by one thread.
 */
class StoreStandin
{
public:
    /** Binds the address and starts serving. Returns Unavailable when the address cannot be bound. */
    static Result<std::unique_ptr<StoreStandin>> make(StoreStandinOptions options, asio::io_context &context);

    ~StoreStandin();

    /** Returns the bound address, with the port that the system chose if the options have port 0. */
    Endpoint localEndpoint() const;

private:
    class Impl;
    explicit StoreStandin(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace Hornbeam
