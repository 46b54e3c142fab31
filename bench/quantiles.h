#pragma once

#include <vector>

namespace Hornbeam {

/** Returns the @p probability quantile (0..1) by the nearest-rank method; zero without values. */
double quantile(std::vector<double> values, double probability);

} // namespace Hornbeam
