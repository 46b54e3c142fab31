#include "upstreamconnection.h"

#include <charconv>
#include <optional>

namespace Hornbeam {

namespace {

/** Share of the target's idle timeout after which a connection is not reused: the target starts to count earlier. */
constexpr int usableIdlePercent = 70;

/** Parses the timeout parameter of a Keep-Alive header; nothing without a valid one. */
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

void UpstreamConnection::recordResponse(TimePoint now)
{
    lastResponse = now;
    const auto *value = stream.reader().head().find("keep-alive");
    const auto seconds = value != nullptr ? keepAliveSeconds(*value) : std::nullopt;
    if (seconds) {
        idleTimeout = std::chrono::milliseconds(std::chrono::seconds(*seconds)) * usableIdlePercent / 100;
    }
}

} // namespace Hornbeam
