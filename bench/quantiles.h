#pragma once

#include <vector>

namespace Hornbeam {

/** The value at the nearest rank of @p probability (0..1); zero without values. */
double quantile(std::vector<double> values, double probability);

} // namespace Hornbeam
