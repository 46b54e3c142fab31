#pragma once

#include <chrono>
#include <cstdint>
#include <sys/types.h>

namespace Hornbeam {

/** Resources that a process has used since its start, as the kernel reports them under /proc. */
struct ProcessUsage
{
    std::chrono::milliseconds cpu{0}; ///< User and system time, in steps of the kernel's clock tick (10 ms).
    std::uint64_t residentBytes = 0;
    std::uint64_t peakResidentBytes = 0;
};

/** Reads the usage of a running process; zeros when it does not run. */
ProcessUsage readProcessUsage(pid_t pid);

} // namespace Hornbeam
