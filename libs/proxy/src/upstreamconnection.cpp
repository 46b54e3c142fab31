#include "upstreamconnection.h"

#include <charconv>
#include <optional>

namespace Hornbeam {

namespace {

/** Part of the granted time that is not used: the target counts from an earlier moment. */
constexpr int idlePercent = 70;

/** The value of "timeout=" in a Keep-Alive header in seconds, or nothing. */
std::optional<int> keepAliveSeconds(const std::string &text)
{
    constexpr std::string_view parameter = "timeout=";
    const auto at = text.find(parameter);
    if (at == std::string::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const auto *const last = text.data() + text.size();
    const auto result = std::from_chars(text.data() + at + parameter.size(), last, seconds);
    return result.ec == std::errc() && seconds >= 0 ? std::optional(seconds) : std::nullopt;
}

} // namespace

void UpstreamConnection::noteResponse(TimePoint now)
{
    lastAlive = now;
    const auto *value = stream.reader().head().find("keep-alive");
    const auto seconds = value != nullptr ? keepAliveSeconds(*value) : std::nullopt;
    if (seconds) {
        idleTimeout = std::chrono::milliseconds(std::chrono::seconds(*seconds)) * idlePercent / 100;
    }
}

} // namespace Hornbeam
