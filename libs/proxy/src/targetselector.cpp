#include "targetselector.h"

#include <algorithm>

namespace Hornbeam {

namespace {

/** Share of a target at its first request; more than zero, because it only warms up by serving. */
constexpr double smallestShare = 0.1;

bool isBusier(const TargetLoad &a, const TargetLoad &b)
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
    for (const bool ownZone : {true, false}) {
        collect(targets, query, now, ownZone);
        if (!m_candidates.empty()) {
            return {Verdict::Selected, chooseOfTwo(now)};
        }
    }
    TargetLoadPtr lastResort;
    bool anyHealthy = false;
    bool anySuitable = false;
    for (const auto &load : targets) {
        if (!isSuitable(*load, query)) {
            continue;
        }
        anySuitable = true;
        anyHealthy = anyHealthy || !load->isEjected(now);
        if (load->hasFreeSlot()) {
            lastResort = load;
        }
    }
    // An ejected target is better than none, but not better than waiting for a healthy one.
    if (!anyHealthy && lastResort) {
        return {Verdict::Selected, lastResort};
    }
    return {anySuitable ? Verdict::Busy : Verdict::NoTarget, nullptr};
}

bool TargetSelector::isSuitable(const TargetLoad &load, const TargetQuery &query)
{
    const auto &labels = load.target.labels;
    return std::includes(labels.begin(), labels.end(), query.requiredLabels.begin(), query.requiredLabels.end())
        && std::find(query.excluded.begin(), query.excluded.end(), load.target.address) == query.excluded.end();
}

bool TargetSelector::hasSuitable(std::span<const TargetLoadPtr> targets, const TargetQuery &query)
{
    return std::any_of(targets.begin(), targets.end(), [&](const auto &load) { return isSuitable(*load, query); });
}

void TargetSelector::collect(std::span<const TargetLoadPtr> targets,
                             const TargetQuery &query,
                             TimePoint now,
                             bool ownZone)
{
    m_candidates.clear();
    for (const auto &load : targets) {
        const bool inZone = load->target.zone == m_options.zone;
        if (inZone == ownZone && load->hasFreeSlot() && !load->isEjected(now) && isSuitable(*load, query)) {
            m_candidates.push_back(load);
        }
    }
}

double TargetSelector::share(const TargetLoad &load, TimePoint now) const
{
    if (load.firstSeen == TimePoint::min() || now - load.firstSeen >= m_options.slowStart) {
        return 1;
    }
    const std::chrono::duration<double> age = now - load.firstSeen;
    const std::chrono::duration<double> full = m_options.slowStart;
    return std::max(smallestShare, age / full);
}

void TargetSelector::dropColdCandidates(TimePoint now)
{
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto isCold = [&](const TargetLoadPtr &load) {
        const auto warmth = share(*load, now);
        return warmth < 1 && uniform(m_random) >= warmth;
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
    // The second choice differs from the first one.
    const auto second = (first + std::uniform_int_distribution<std::size_t>(1, n - 1)(m_random)) % n;
    return m_candidates[isBusier(*m_candidates[first], *m_candidates[second]) ? second : first];
}

} // namespace Hornbeam
