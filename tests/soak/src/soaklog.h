#pragma once

#include <string>

namespace Hornbeam {

/** Prints a line with the time of day, in the format of the processes' logs. Thread-safe. */
void logSoakEvent(const std::string &text);

} // namespace Hornbeam
