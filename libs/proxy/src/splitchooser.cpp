#include "splitchooser.h"

#include <algorithm>
#include <numeric>

namespace Hornbeam {

namespace {

/** Limits the memory use. When more routes have splits, all round-robin states are reset. */
constexpr std::size_t maxRoutes = 10000;

/** Upper bound of a route's random initial position, so that nodes which start together do not choose in step. */
constexpr int maxInitialSteps = 100;

std::int64_t totalWeight(const std::vector<RouteSplit> &splits)
{
    return std::accumulate(
        splits.begin(), splits.end(), std::int64_t{0}, [](auto sum, const auto &it) { return sum + it.weight; });
}

/** Adds to each split its weight, chooses the split with the largest sum and subtracts the total weight from it. */
std::size_t chooseNext(const std::vector<RouteSplit> &splits, std::vector<std::int64_t> &currentWeights)
{
    for (std::size_t i = 0; i < splits.size(); ++i) {
        currentWeights[i] += splits[i].weight;
    }
    const auto chosen = static_cast<std::size_t>(std::max_element(currentWeights.begin(), currentWeights.end())
                                                 - currentWeights.begin());
    currentWeights[chosen] -= totalWeight(splits);
    return chosen;
}

} // namespace

SplitChooser::SplitChooser(std::uint64_t seed)
    : m_random(seed != 0 ? seed : std::random_device()())
{
}

const std::string &SplitChooser::choose(const Route &route)
{
    if (route.splits.empty()) {
        return route.service;
    }
    const std::lock_guard lock(m_mutex);
    return route.splits[chooseNext(route.splits, stateOf(route).currentWeights)].service;
}

SplitChooser::RoundRobinState &SplitChooser::stateOf(const Route &route)
{
    auto it = m_states.find(route.name);
    if (it != m_states.end() && it->second.splits == route.splits) {
        return it->second;
    }
    if (m_states.size() >= maxRoutes) {
        m_states.clear();
    }
    RoundRobinState initial{.splits = route.splits,
                            .currentWeights = std::vector<std::int64_t>(route.splits.size(), 0)};
    const auto steps = std::uniform_int_distribution<int>(0, maxInitialSteps)(m_random);
    for (int i = 0; i < steps; ++i) {
        chooseNext(initial.splits, initial.currentWeights);
    }
    return m_states.insert_or_assign(route.name, std::move(initial)).first->second;
}

} // namespace Hornbeam
