#include <hornbeam/rollouts/outcomes.h>

#include <nlohmann/json.hpp>

namespace Hornbeam {

OutcomeCounts &OutcomeCounts::operator+=(const OutcomeCounts &other)
{
    requests += other.requests;
    failures += other.failures;
    totalTime += other.totalTime;
    return *this;
}

OutcomeCounts OutcomeCounts::operator-(const OutcomeCounts &earlier) const
{
    return {.requests = requests - earlier.requests,
            .failures = failures - earlier.failures,
            .totalTime = totalTime - earlier.totalTime};
}

std::string OutcomeReport::encode() const
{
    auto encoded = nlohmann::json::object();
    for (const auto &[version, routes] : versions) {
        auto &entry = encoded[version] = nlohmann::json::object();
        for (const auto &[route, counts] : routes) {
            entry[route] = {counts.requests, counts.failures, counts.totalTime.count()};
        }
    }
    return nlohmann::json{
        {"service", service}, {"order", order}, {"elapsedMs", elapsed.count()}, {"versions", std::move(encoded)}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<OutcomeReport> OutcomeReport::decode(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        OutcomeReport report{.service = json.at("service").get<std::string>(),
                             .order = json.at("order").get<std::int64_t>(),
                             .elapsed = std::chrono::milliseconds(json.at("elapsedMs").get<std::int64_t>()),
                             .versions = {}};
        for (const auto &[version, routes] : json.at("versions").items()) {
            auto &decoded = report.versions[version];
            for (const auto &[route, counts] : routes.items()) {
                decoded[route] = {.requests = counts.at(0).get<std::uint64_t>(),
                                  .failures = counts.at(1).get<std::uint64_t>(),
                                  .totalTime = std::chrono::milliseconds(counts.at(2).get<std::int64_t>())};
            }
        }
        return report;
    } catch (const nlohmann::json::exception &error) {
        return makeError(ErrorCode::InvalidArgument, error.what());
    }
}

} // namespace Hornbeam
