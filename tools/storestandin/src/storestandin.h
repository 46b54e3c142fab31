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
    std::uint32_t writesPerSecond = 400; ///< Transactions and lease calls.
    std::uint32_t readsPerSecond = 2000; ///< Range calls; each waiting watch takes one of them.
    std::chrono::milliseconds progressInterval{2000}; ///< Time between the progress messages of a watch.
};

/**
 * Stand-in for the platform's store: the etcd v3 JSON gateway on an InMemoryStore with rate limits and faults.
 * POST /control changes the faults, GET /control/stats reports the calls; see storestandin.cpp for the fields.
 * Runs on the given context, which must outlive it and be run by one thread.
 */
class StoreStandin
{
public:
    /** Binds the address. Unavailable when it cannot be bound. */
    static Result<std::unique_ptr<StoreStandin>> make(StoreStandinOptions options, asio::io_context &context);

    ~StoreStandin();

    /** The bound address, with the port chosen by the system if port 0 was asked for. */
    Endpoint localEndpoint() const;

private:
    class Impl;
    explicit StoreStandin(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace Hornbeam
