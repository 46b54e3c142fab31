#include "processmemory.h"

#include <malloc.h>

#include <fstream>

namespace Hornbeam {

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * 4096;
}

std::size_t allocatedBytes()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace Hornbeam
