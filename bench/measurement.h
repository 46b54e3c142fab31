#pragma once

#include "benchoptions.h"
#include "fleet.h"

#include <nlohmann/json.hpp>

namespace Hornbeam {

/** Starts a fleet of one design and size, measures it and ends it. Returns the members of the result document. */
Result<nlohmann::json> measureDesign(const BenchOptions &options, Design design, int nodes);

} // namespace Hornbeam
