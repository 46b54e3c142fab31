#include "splitchooser.h"

#include <algorithm>
#include <numeric>

namespace Hornbeam {

namespace {

/** Bound of the memory; all positions start anew when more routes had splits. */
constexpr std::size_t maxRoutes = 10000;

/** Steps after which a route starts at most, so that nodes that start together differ. */
constexpr int maxStartSteps = 100;

std::int64_t totalWeight(const std::vector<RouteSplit> &splits)
{
    return std::accumulate(
        splits.begin(), splits.end(), std::int64_t{0}, [](auto sum, const auto &it) { return sum + it.weight; });
}

/** Gives each split its weight and takes the total from the one that is chosen. */
std::size_t step(const std::vector<RouteSplit> &splits, std::vector<std::int64_t> &credits)
{
    for (std::size_t i = 0; i < splits.size(); ++i) {
        credits[i] += splits[i].weight;
    }
    const auto chosen = static_cast<std::size_t>(std::max_element(credits.begin(), credits.end()) - credits.begin());
    credits[chosen] -= totalWeight(splits);
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
    return route.splits[step(route.splits, positionOf(route).credits)].service;
}

SplitChooser::Position &SplitChooser::positionOf(const Route &route)
{
    auto it = m_positions.find(route.name);
    if (it != m_positions.end() && it->second.splits == route.splits) {
        return it->second;
    }
    if (m_positions.size() >= maxRoutes) {
        m_positions.clear();
    }
    Position start{.splits = route.splits, .credits = std::vector<std::int64_t>(route.splits.size(), 0)};
    const auto steps = std::uniform_int_distribution<int>(0, maxStartSteps)(m_random);
    for (int i = 0; i < steps; ++i) {
        step(start.splits, start.credits);
    }
    return m_positions.insert_or_assign(route.name, std::move(start)).first->second;
}

} // namespace Hornbeam
