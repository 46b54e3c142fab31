#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Hornbeam {

/** The load that a target states in a response, see HeaderNames::targetLoad. */
struct StatedLoad
{
    std::uint32_t running = 0; ///< Requests that run at the target.
    std::uint32_t waiting = 0; ///< Requests that the target has queued.
    std::uint32_t slots = 1; ///< Requests that the target runs concurrently. At least 1.
    std::uint32_t timePercent = 100; ///< Time that work takes at the moment, relative to the usual one. 1..10000.

    /**
     * Parses "running,waiting,slots" with an optional fourth number, the percentage. Nothing for any other text,
     * because a target may send anything.
     */
    static std::optional<StatedLoad> parse(std::string_view text);

    friend bool operator==(const StatedLoad &, const StatedLoad &) = default;
};

} // namespace Hornbeam
