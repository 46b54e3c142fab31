#include "quantiles.h"

#include <algorithm>
#include <cmath>

namespace Hornbeam {

double quantile(std::vector<double> values, double probability)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(std::ceil(probability * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

} // namespace Hornbeam
