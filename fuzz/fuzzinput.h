#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace Hornbeam {

inline std::string_view fuzzInput(const std::uint8_t *data, std::size_t size)
{
    return {reinterpret_cast<const char *>(data), size};
}

/** Stops the fuzzer at a violated property, in builds of every type. */
inline void fuzzRequire(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

} // namespace Hornbeam
