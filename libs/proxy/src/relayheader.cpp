#include "relayheader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>
#include <vector>

namespace Hornbeam {

namespace {

constexpr std::uint64_t maxMilliseconds = 3600000;
constexpr std::uint64_t maxCount = 1000000;
constexpr std::uint64_t maxSlots = 10000;
constexpr std::uint64_t maxPercent = 10000;

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

/** Parses exactly N numbers from index @p first to the end of @p texts; nothing if any is invalid or out of range. */
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
    return target + ';' + service + ';' + route + ';' + milliseconds(timeLeft) + ';' + milliseconds(maxWait) + ';'
        + std::to_string(rank.value()) + ';' + (idempotent ? '1' : '0') + ';' + (repeated ? '1' : '0') + ';'
        + (bulk ? '1' : '0');
}

std::string RelaySender::format() const
{
    return nodeId + ';' + milliseconds(stopTime);
}

std::optional<RelaySender> RelaySender::parse(std::string_view text)
{
    const auto parts = split(text, ';');
    const auto values = numbers<1>(parts, 1, {maxMilliseconds});
    if (!values || parts.front().empty()) {
        return std::nullopt;
    }
    return RelaySender{.nodeId = std::string(parts.front()), .stopTime = std::chrono::milliseconds((*values)[0])};
}

std::optional<RelayRequest> RelayRequest::parse(std::string_view text)
{
    constexpr std::size_t names = 3;
    const auto parts = split(text, ';');
    const auto values = numbers<6>(parts, names, {maxMilliseconds, maxMilliseconds, AdmissionRank::count - 1, 1, 1, 1});
    if (!values) {
        return std::nullopt;
    }
    const auto &[timeLeft, maxWait, rank, idempotent, repeated, bulk] = *values;
    return RelayRequest{.target = std::string(parts[0]),
                        .service = std::string(parts[1]),
                        .route = std::string(parts[2]),
                        .timeLeft = std::chrono::milliseconds(timeLeft),
                        .maxWait = std::chrono::milliseconds(maxWait),
                        .rank = AdmissionRank::fromValue(rank),
                        .idempotent = idempotent == 1,
                        .bulk = bulk == 1,
                        .repeated = repeated == 1};
}

std::string formatRelayAccount(const CallAccount &account)
{
    const auto priority = account.priority ? std::to_string(static_cast<int>(*account.priority)) : std::string("-");
    return priority + (account.inherited ? ";1;" : ";0;") + account.name;
}

std::optional<CallAccount> parseRelayAccount(std::string_view text)
{
    // The name comes last, because it may contain the separator.
    constexpr std::size_t nameOffset = 4;
    if (text.size() <= nameOffset || text[1] != ';' || text[3] != ';') {
        return std::nullopt;
    }
    const auto priority = text.substr(0, 1) == "-" ? std::optional<std::uint64_t>() : number(text.substr(0, 1), 2);
    const auto inherited = number(text.substr(2, 1), 1);
    if (!inherited || (!priority && text.front() != '-')) {
        return std::nullopt;
    }
    CallAccount account{.name = std::string(text.substr(nameOffset)), .inherited = *inherited == 1};
    if (priority) {
        account.priority = static_cast<Priority>(*priority);
    }
    return account;
}

std::uint32_t LoadReport::ahead(AdmissionRank rank) const
{
    return std::accumulate(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(rank.value()) + 1, running);
}

std::string LoadReport::format() const
{
    auto text = std::to_string(running);
    for (const auto n : waiting) {
        text += ',' + std::to_string(n);
    }
    return text + ',' + std::to_string(slots) + ',' + milliseconds(serviceTime) + ',' + std::to_string(failuresPerMille)
        + ',' + (refusedByTarget ? '1' : '0') + ',' + (dependencyFailed ? '1' : '0') + ',' + milliseconds(largeWait)
        + ',' + milliseconds(routeTime) + ',' + std::to_string(timePercent);
}

std::optional<LoadReport> LoadReport::parse(std::string_view text)
{
    constexpr auto ranks = AdmissionRank::count;
    std::array<std::uint64_t, ranks + 8> maxima{};
    maxima.fill(maxCount);
    maxima[ranks + 1] = maxSlots;
    maxima[ranks + 2] = maxMilliseconds;
    maxima[ranks + 3] = 1000;
    maxima[ranks + 4] = 1;
    maxima[ranks + 5] = 1;
    maxima[ranks + 6] = maxMilliseconds;
    maxima[ranks + 7] = maxMilliseconds;
    auto texts = split(text, ',');
    // Nodes of an earlier version leave the last number out.
    std::uint64_t timePercent = 100;
    if (texts.size() == ranks + 9) {
        const auto last = number(texts.back(), maxPercent);
        if (!last || *last == 0) {
            return std::nullopt;
        }
        timePercent = *last;
        texts.pop_back();
    }
    const auto values = numbers<ranks + 8>(texts, 0, maxima);
    if (!values || (*values)[ranks + 1] == 0) {
        return std::nullopt;
    }
    LoadReport report;
    report.running = static_cast<std::uint32_t>((*values)[0]);
    for (std::size_t i = 0; i < ranks; ++i) {
        report.waiting[i] = static_cast<std::uint32_t>((*values)[1 + i]);
    }
    report.slots = static_cast<std::uint32_t>((*values)[ranks + 1]);
    report.serviceTime = std::chrono::milliseconds((*values)[ranks + 2]);
    report.failuresPerMille = static_cast<std::uint32_t>((*values)[ranks + 3]);
    report.refusedByTarget = (*values)[ranks + 4] == 1;
    report.dependencyFailed = (*values)[ranks + 5] == 1;
    report.largeWait = std::chrono::milliseconds((*values)[ranks + 6]);
    report.routeTime = std::chrono::milliseconds((*values)[ranks + 7]);
    report.timePercent = static_cast<std::uint32_t>(timePercent);
    return report;
}

} // namespace Hornbeam
