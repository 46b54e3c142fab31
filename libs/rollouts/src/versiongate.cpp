#include <hornbeam/rollouts/versiongate.h>

#include <algorithm>

namespace Hornbeam {

namespace {

constexpr std::uint32_t allRequests = 1000;

/** Requests that could not use a fresh target are made up for later, up to this number. */
constexpr double maxCredit = 2;

double shareOf(const VersionRule &rule)
{
    return static_cast<double>(rule.sharePerMille) / allRequests;
}

/** With this weight and margin, eight failures of the first sixteen responses cut a version off. */
constexpr double failureWeight = 1.0 / 16;
constexpr double cutMargin = 0.3;

} // namespace

VersionGate::VersionGate(std::uint64_t seed)
    : m_random(seed != 0 ? seed : std::random_device()())
{
}

bool VersionGate::State::isWithinLimit() const
{
    const auto allowed = rule.shareLimit * static_cast<double>(requests + 1) + rule.extraRequests;
    return static_cast<double>(freshRequests + 1) <= allowed;
}

void VersionGate::setRules(const std::vector<VersionRule> &rules)
{
    std::map<std::string, State, std::less<>> services;
    for (const auto &rule : rules) {
        State state;
        state.credit = std::uniform_real_distribution<double>(0, 1)(m_random);
        const auto known = m_services.find(rule.service);
        if (known != m_services.end() && known->second.rule.order == rule.order) {
            state = known->second;
        }
        if (state.rule.step != rule.step) {
            state.cut = false;
            state.freshFailures = 0;
        }
        state.rule = rule;
        services[rule.service] = state;
    }
    m_services = std::move(services);
}

VersionTrack VersionGate::trackOf(const std::string &service, const std::string &version) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end() || version == it->second.rule.stableVersion) {
        return VersionTrack::Stable;
    }
    const auto &fresh = it->second.rule.freshVersion;
    return !fresh.empty() && version == fresh ? VersionTrack::Fresh : VersionTrack::Held;
}

VersionTrack VersionGate::next(const std::string &service) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end() || it->second.rule.freshVersion.empty()) {
        return VersionTrack::Stable;
    }
    const auto &state = it->second;
    if (state.rule.sharePerMille == 0 || state.cut || !state.isWithinLimit()) {
        return VersionTrack::Stable;
    }
    return state.credit + shareOf(state.rule) >= 1 ? VersionTrack::Fresh : VersionTrack::Stable;
}

bool VersionGate::isSwitching(const std::string &service) const
{
    const auto it = m_services.find(service);
    return it != m_services.end() && it->second.rule.sharePerMille >= allRequests && !it->second.cut
        && it->second.isWithinLimit();
}

void VersionGate::sent(const std::string &service, VersionTrack track)
{
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return;
    }
    auto &state = it->second;
    const bool fresh = track == VersionTrack::Fresh;
    ++state.requests;
    state.freshRequests += fresh ? 1 : 0;
    state.credit = std::clamp(state.credit + shareOf(state.rule) - (fresh ? 1 : 0), 0.0, maxCredit);
}

void VersionGate::responded(const std::string &service, VersionTrack track, bool failed)
{
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return;
    }
    auto &state = it->second;
    auto &rate = track == VersionTrack::Fresh ? state.freshFailures : state.stableFailures;
    rate += ((failed ? 1.0 : 0.0) - rate) * failureWeight;
    state.cut = state.cut || state.freshFailures > state.stableFailures + cutMargin;
}

} // namespace Hornbeam
