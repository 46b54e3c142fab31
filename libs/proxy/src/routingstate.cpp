#include <hornbeam/proxy/routingstate.h>

#include <algorithm>

namespace Hornbeam {

std::pair<std::vector<Target>::const_iterator, std::vector<Target>::const_iterator> RoutingState::targetsOf(
    std::string_view service) const
{
    const auto first = std::lower_bound(
        targets.begin(), targets.end(), service, [](const Target &target, auto name) { return target.service < name; });
    const auto last = std::upper_bound(
        first, targets.end(), service, [](auto name, const Target &target) { return name < target.service; });
    return {first, last};
}

} // namespace Hornbeam
