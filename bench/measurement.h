#pragma once

#include "benchoptions.h"
#include "fleet.h"

#include <nlohmann/json.hpp>

namespace Hornbeam {

/** Starts a fleet of the given design and size, measures it and stops it. Returns the fields of the result document. */
Result<nlohmann::json> measureDesign(const BenchOptions &options, Design design, int nodes);

} // namespace Hornbeam
