#pragma once

#include <string>

namespace Hornbeam {

/** Returns 128 random bits from the operating system as 32 hexadecimal digits. */
std::string randomId();

} // namespace Hornbeam
