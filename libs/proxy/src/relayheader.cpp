#include "relayheader.h"

#include <array>
#include <charconv>
#include <vector>

namespace Hornbeam {

namespace {

constexpr std::uint64_t maxMilliseconds = 3600000;
constexpr std::uint64_t maxCount = 1000000;
constexpr std::uint64_t maxSlots = 10000;

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    for (;;) {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

std::optional<std::uint64_t> number(std::string_view text, std::uint64_t maximum)
{
    std::uint64_t value = 0;
    const auto *const last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, value);
    if (ec != std::errc() || end != last || value > maximum) {
        return std::nullopt;
    }
    return value;
}

/** The numbers of @p texts, or nothing when one is none. */
template <std::size_t N>
std::optional<std::array<std::uint64_t, N>> numbers(const std::vector<std::string_view> &texts,
                                                    std::size_t first,
                                                    const std::array<std::uint64_t, N> &maxima)
{
    std::array<std::uint64_t, N> values{};
    if (texts.size() != first + N) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < N; ++i) {
        const auto value = number(texts[first + i], maxima[i]);
        if (!value) {
            return std::nullopt;
        }
        values[i] = *value;
    }
    return values;
}

std::string milliseconds(std::chrono::milliseconds value)
{
    return std::to_string(std::max<std::chrono::milliseconds::rep>(value.count(), 0));
}

} // namespace

std::string RelayRequest::format() const
{
    return target + ';' + service + ';' + milliseconds(left) + ';' + milliseconds(maxWait) + ';'
        + milliseconds(objective) + ';' + std::to_string(static_cast<int>(priority)) + ';' + (repeatable ? '1' : '0');
}

std::optional<RelayRequest> RelayRequest::parse(std::string_view text)
{
    constexpr std::size_t names = 2;
    const auto parts = split(text, ';');
    const auto values = numbers<5>(parts, names, {maxMilliseconds, maxMilliseconds, maxMilliseconds, 2, 1});
    if (!values) {
        return std::nullopt;
    }
    const auto &[left, maxWait, objective, priority, repeatable] = *values;
    return RelayRequest{.target = std::string(parts[0]),
                        .service = std::string(parts[1]),
                        .left = std::chrono::milliseconds(left),
                        .maxWait = std::chrono::milliseconds(maxWait),
                        .objective = std::chrono::milliseconds(objective),
                        .priority = static_cast<Priority>(priority),
                        .repeatable = repeatable == 1};
}

std::string LoadReport::format() const
{
    return std::to_string(running) + ',' + std::to_string(waiting) + ',' + std::to_string(slots) + ','
        + milliseconds(serviceTime) + ',' + std::to_string(failuresPerMille) + ',' + (arrived ? '1' : '0');
}

std::optional<LoadReport> LoadReport::parse(std::string_view text)
{
    const auto values = numbers<6>(split(text, ','), 0, {maxCount, maxCount, maxSlots, maxMilliseconds, 1000, 1});
    if (!values || (*values)[2] == 0) {
        return std::nullopt;
    }
    const auto &[running, waiting, slots, serviceTime, failures, arrived] = *values;
    return LoadReport{.running = static_cast<std::uint32_t>(running),
                      .waiting = static_cast<std::uint32_t>(waiting),
                      .slots = static_cast<std::uint32_t>(slots),
                      .serviceTime = std::chrono::milliseconds(serviceTime),
                      .failuresPerMille = static_cast<std::uint32_t>(failures),
                      .arrived = arrived == 1};
}

} // namespace Hornbeam
