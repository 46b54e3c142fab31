#pragma once

#include <cstddef>

namespace Hornbeam {

/** Memory of this process that is in use, without pages that were swapped out. */
std::size_t residentBytes();

/** The same without what the allocator keeps for later. */
std::size_t allocatedBytes();

} // namespace Hornbeam
