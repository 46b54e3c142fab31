#include "targetselector.h"

#include <algorithm>

namespace Hornbeam {

namespace {

/** Smallest share of a new target; more than zero, because a target only warms up by serving requests. */
constexpr double minSlowStartShare = 0.1;

bool isMoreLoaded(const TargetLoad &a, const TargetLoad &b)
{
    return std::uint64_t{a.outstanding} * b.slots > std::uint64_t{b.outstanding} * a.slots;
}

} // namespace

TargetSelector::TargetSelector(TargetSelectorOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed != 0 ? m_options.seed : std::random_device()())
{
}

TargetSelector::Selection TargetSelector::select(std::span<const TargetLoadPtr> targets,
                                                 const TargetQuery &query,
                                                 TimePoint now)
{
    for (const bool localZone : {true, false}) {
        collect(targets, query, now, localZone);
        if (!m_candidates.empty()) {
            return {Outcome::Selected, chooseOfTwo(now)};
        }
    }
    TargetLoadPtr ejectedFallback;
    bool anyHealthy = false;
    bool anySuitable = false;
    for (const auto &load : targets) {
        if (!isSuitable(*load, query)) {
            continue;
        }
        anySuitable = true;
        anyHealthy = anyHealthy || !load->isEjected(now);
        if (load->hasFreeSlot()) {
            ejectedFallback = load;
        }
    }
    // An ejected target is used only if all suitable targets are ejected; else the request waits for another one.
    if (!anyHealthy && ejectedFallback) {
        return {Outcome::Selected, ejectedFallback};
    }
    return {anySuitable ? Outcome::Busy : Outcome::NoTarget, nullptr};
}

bool TargetSelector::isSuitable(const TargetLoad &load, const TargetQuery &query)
{
    const auto &labels = load.target.labels;
    return load.track == VersionTrack::Stable
        && std::includes(labels.begin(), labels.end(), query.requiredLabels.begin(), query.requiredLabels.end())
        && std::find(query.excluded.begin(), query.excluded.end(), load.target.address) == query.excluded.end();
}

bool TargetSelector::hasSuitable(std::span<const TargetLoadPtr> targets, const TargetQuery &query)
{
    return std::any_of(targets.begin(), targets.end(), [&](const auto &load) { return isSuitable(*load, query); });
}

void TargetSelector::collect(std::span<const TargetLoadPtr> targets,
                             const TargetQuery &query,
                             TimePoint now,
                             bool localZone)
{
    m_candidates.clear();
    for (const auto &load : targets) {
        const bool inZone = load->target.zone == m_options.zone;
        if (inZone == localZone && load->hasFreeSlot() && !load->isEjected(now) && isSuitable(*load, query)) {
            m_candidates.push_back(load);
        }
    }
}

double TargetSelector::slowStartShare(const TargetLoad &load, TimePoint now) const
{
    if (load.firstSeen == TimePoint::min() || now - load.firstSeen >= m_options.slowStart) {
        return 1;
    }
    const std::chrono::duration<double> age = now - load.firstSeen;
    const std::chrono::duration<double> full = m_options.slowStart;
    return std::max(minSlowStartShare, age / full);
}

void TargetSelector::dropColdCandidates(TimePoint now)
{
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto isCold = [&](const TargetLoadPtr &load) {
        const auto share = slowStartShare(*load, now);
        return share < 1 && uniform(m_random) >= share;
    };
    const auto firstCold = std::stable_partition(
        m_candidates.begin(), m_candidates.end(), [&](const auto &load) { return !isCold(load); });
    if (firstCold != m_candidates.begin()) {
        m_candidates.erase(firstCold, m_candidates.end());
    }
}

TargetLoadPtr TargetSelector::chooseOfTwo(TimePoint now)
{
    dropColdCandidates(now);
    const auto n = m_candidates.size();
    if (n == 1) {
        return m_candidates.front();
    }
    const auto first = std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random);
    // Always a different candidate than the first one.
    const auto second = (first + std::uniform_int_distribution<std::size_t>(1, n - 1)(m_random)) % n;
    return m_candidates[isMoreLoaded(*m_candidates[first], *m_candidates[second]) ? second : first];
}

} // namespace Hornbeam
