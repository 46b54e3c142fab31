#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace Hornbeam {

/** Returns the input of the fuzzer as text. */
inline std::string_view fuzzInput(const std::uint8_t *data, std::size_t size)
{
    return {reinterpret_cast<const char *>(data), size};
}

/** Aborts if @p condition is false, in builds of every type, so that the fuzzer reports the input. */
inline void fuzzRequire(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

} // namespace Hornbeam
