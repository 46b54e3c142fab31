#pragma once

#include <cstdint>
#include <optional>

namespace Hornbeam {

/**
 * Identifies the history of a store, which begins anew when the store is restored from a copy: the changes after the
 * copy are lost, and their revisions and lease ids are given out again. Revisions and lease ids of different
 * generations must not be compared. Generations have no order, and every number is a valid one.
 */
using StoreGeneration = std::uint64_t;

/** Whether the store was restored between two responses with these generations. False if one is unknown. */
constexpr bool isRestoration(std::optional<StoreGeneration> earlier, std::optional<StoreGeneration> later)
{
    return earlier && later && *earlier != *later;
}

} // namespace Hornbeam
