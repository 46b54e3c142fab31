#pragma once

#include <chrono>
#include <cstdint>
#include <sys/types.h>

namespace Hornbeam {

/** Resource usage of a process since its start, as reported in /proc. */
struct ProcessUsage
{
    std::chrono::milliseconds cpu{0}; ///< User and system time, with the resolution of the kernel's clock tick (10 ms).
    std::uint64_t residentBytes = 0;
    std::uint64_t peakResidentBytes = 0;
};

/** Reads the usage of a running process; all values are zero when it is not running. */
ProcessUsage readProcessUsage(pid_t pid);

} // namespace Hornbeam
