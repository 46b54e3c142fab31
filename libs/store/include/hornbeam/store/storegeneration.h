#pragma once

#include <cstdint>

namespace Hornbeam {

/**
 * Identifies the history of a store, which begins anew when the store is restored from a copy: the changes after the
 * copy are lost, and their revisions and lease ids are given out again. Revisions and lease ids of different
 * generations must not be compared. Generations have no order; 0 means unknown.
 */
using StoreGeneration = std::uint64_t;

/** Whether the store was restored between two responses with these generations. False if one is unknown. */
constexpr bool isRestoration(StoreGeneration earlier, StoreGeneration later)
{
    return earlier != 0 && later != 0 && earlier != later;
}

} // namespace Hornbeam
