#pragma once

#include <hornbeam/base/endpoint.h>

#include <chrono>

namespace Hornbeam {

/** Difference of the quantiles of two series of calls that ran at the same time, in milliseconds. */
struct AddedLatency
{
    double p50 = 0;
    double p99 = 0;
    double throughNodeP99 = 0;
    double directP99 = 0;
    std::size_t calls = 0; ///< Successful calls through the node.
    std::size_t failures = 0; ///< Calls of both series without status 200.
};

/** Calls the node and the target 300 times a second each, for that time. */
AddedLatency measureAddedLatency(const Endpoint &node, const Endpoint &target, std::chrono::seconds duration);

} // namespace Hornbeam
