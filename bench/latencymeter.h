#pragma once

#include <hornbeam/base/endpoint.h>

#include <chrono>

namespace Hornbeam {

/** Latency that a node adds to requests: differences between two concurrent series of requests, in milliseconds. */
struct AddedLatency
{
    double p50 = 0;
    double p99 = 0;
    double throughNodeP99 = 0;
    double directP99 = 0;
    std::size_t calls = 0; ///< Successful requests through the node.
    std::size_t failures = 0; ///< Requests of both series without status 200.
};

/** Sends 300 requests per second through the node, and as many directly to the target, for the given duration. */
AddedLatency measureAddedLatency(const Endpoint &node, const Endpoint &target, std::chrono::seconds duration);

} // namespace Hornbeam
