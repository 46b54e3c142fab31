#include "statedload.h"

#include <array>
#include <charconv>

namespace Hornbeam {

namespace {

constexpr std::uint32_t maxRequests = 1000000;
constexpr std::uint32_t maxPercent = 10000;

} // namespace

std::optional<StatedLoad> StatedLoad::parse(std::string_view text)
{
    std::array<std::uint32_t, 4> values{0, 0, 0, 100};
    std::size_t n = 0;
    const auto *it = text.data();
    const auto *const last = text.data() + text.size();
    while (n < values.size()) {
        while (it != last && *it == ' ') {
            ++it;
        }
        const auto [end, ec] = std::from_chars(it, last, values[n]);
        if (ec != std::errc()) {
            return std::nullopt;
        }
        ++n;
        it = end;
        if (it == last || *it != ',') {
            break;
        }
        ++it;
    }
    const auto &[running, waiting, slots, percent] = values;
    const bool valid = it == last && n >= 3 && running <= maxRequests && waiting <= maxRequests && slots >= 1
        && slots <= maxRequests && percent >= 1 && percent <= maxPercent;
    return valid
        ? std::optional(StatedLoad{.running = running, .waiting = waiting, .slots = slots, .timePercent = percent})
        : std::nullopt;
}

} // namespace Hornbeam
