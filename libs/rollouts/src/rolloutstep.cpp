#include <hornbeam/rollouts/rolloutstep.h>

#include <nlohmann/json.hpp>

#include <array>
#include <tuple>

namespace Hornbeam {

namespace {

constexpr std::array phases{RolloutPhase::Canary,
                            RolloutPhase::Switch,
                            RolloutPhase::Withdrawing,
                            RolloutPhase::Completed,
                            RolloutPhase::RolledBack};

constexpr std::uint32_t maxShare = 1000;

} // namespace

const char *rolloutPhaseName(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Canary:
        return "canary";
    case RolloutPhase::Switch:
        return "switch";
    case RolloutPhase::Withdrawing:
        return "withdrawing";
    case RolloutPhase::Completed:
        return "completed";
    case RolloutPhase::RolledBack:
        return "rolled-back";
    }
    return "unknown";
}

bool RolloutStep::supersedes(const RolloutStep &other) const
{
    if (order == other.order && isFinal() != other.isFinal()) {
        return isFinal();
    }
    return std::tie(order, fence, number) > std::tie(other.order, other.fence, other.number);
}

std::string RolloutStep::encode() const
{
    return nlohmann::json{{"service", service},
                          {"order", order},
                          {"fence", fence},
                          {"step", number},
                          {"phase", rolloutPhaseName(phase)},
                          {"share", sharePerMille},
                          {"stable", stableVersion},
                          {"version", version},
                          {"elapsedMs", elapsed.count()},
                          {"timerEndMs", timerEnd.count()},
                          {"reason", reason}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<RolloutStep> RolloutStep::decode(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        RolloutStep step{.service = json.at("service").get<std::string>(),
                         .order = json.at("order").get<std::int64_t>(),
                         .fence = json.at("fence").get<std::uint64_t>(),
                         .number = json.at("step").get<std::uint64_t>(),
                         .phase = RolloutPhase::Canary,
                         .sharePerMille = json.at("share").get<std::uint32_t>(),
                         .stableVersion = json.at("stable").get<std::string>(),
                         .version = json.at("version").get<std::string>(),
                         .elapsed = std::chrono::milliseconds(json.at("elapsedMs").get<std::int64_t>()),
                         .timerEnd = std::chrono::milliseconds(json.value("timerEndMs", std::int64_t{0})),
                         .reason = json.at("reason").get<std::string>()};
        const auto name = json.at("phase").get<std::string>();
        for (const auto phase : phases) {
            if (name == rolloutPhaseName(phase)) {
                step.phase = phase;
                return step.sharePerMille <= maxShare ? Result<RolloutStep>(step)
                                                      : makeError(ErrorCode::InvalidArgument, "share above 1000");
            }
        }
        return makeError(ErrorCode::InvalidArgument, "unknown phase " + name);
    } catch (const nlohmann::json::exception &error) {
        return makeError(ErrorCode::InvalidArgument, error.what());
    }
}

} // namespace Hornbeam
